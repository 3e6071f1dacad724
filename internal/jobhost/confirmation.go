package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
)

const (
	// versionSlack is by how much less than VersionTime a confirmation may be old. It covers the time from
	// the sending of a request until its queue is looked up.
	versionSlack = 250 * time.Millisecond
	// confirmWait bounds how long a request waits for a confirmation: for a read of the log, or for the
	// peers that are asked at once.
	confirmWait = 600 * time.Millisecond
)

// confirmation holds the time up to which the configuration in force is known to be the newest: no later
// version had been published then.
type confirmation struct {
	changed broadcast

	mu sync.Mutex
	at time.Time
}

// confirm notes that all versions published before a time are in force or replaced.
func (c *confirmation) confirm(at time.Time) {
	c.mu.Lock()
	isLater := at.After(c.at)
	if isLater {
		c.at = at
	}
	c.mu.Unlock()
	if isLater {
		c.changed.notify()
	}
}

// confirmedAt returns the time of the last confirmation, zero if there was none.
func (c *confirmation) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// ConfirmedAt returns the time up to which the configuration in force is known to be the newest that was
// published, on the clock that the job host was started with; zero if it is not known for any time.
func (h *JobHost) ConfirmedAt() time.Time { return h.versions.confirmedAt() }

// ConfirmedAccess returns the keys of the configuration in force, with that configuration, once no version
// is missing that was published more than VersionTime before the call. It asks the log and peers if that is
// not known, and returns nil if neither confirms it within confirmWait or before ctx ends.
func (h *JobHost) ConfirmedAccess(ctx context.Context) *access.Directory {
	now := h.now()
	required := now.Add(versionSlack - h.settings.VersionTime)
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	if !h.versions.awaitConfirmed(ctx, required) {
		h.events.Event("version-unconfirmed", "config", h.operators.version(), "confirmed-age", h.now().Sub(h.ConfirmedAt()), "waited", h.now().Sub(now))
		return nil
	}
	return h.Access()
}

// awaitConfirmed waits until a time has been confirmed, and reports whether it has before ctx ends.
func (v *peerVersions) awaitConfirmed(ctx context.Context, required time.Time) bool {
	if !v.confirmedAt().Before(required) {
		return true
	}
	v.seek(required)
	for {
		changed := v.changed.changed()
		if !v.confirmedAt().Before(required) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// seek has the log and peers asked at once for a confirmation of a time.
func (v *peerVersions) seek(required time.Time) {
	v.mu.Lock()
	if required.After(v.sought) {
		v.sought = required
	}
	v.mu.Unlock()
	v.signal()
}

// isSought reports whether requests wait for a confirmation.
func (v *peerVersions) isSought() bool {
	confirmedAt := v.confirmedAt()
	v.mu.Lock()
	defer v.mu.Unlock()
	return confirmedAt.Before(v.sought)
}

// readToEnd reads the operators' partition from where its follower is.
func (v *peerVersions) readToEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	sent := v.host.now()
	batch, err := v.host.platform.Log.Read(ctx, v.host.platform.Records.OperatorPartition(), v.position.Load(), 0)
	if err != nil {
		// The follower of the partition logs that the log is lost.
		return
	}
	v.host.operators.apply(batch.Records)
	if batch.Next >= batch.End {
		v.confirm(sent)
	}
}
