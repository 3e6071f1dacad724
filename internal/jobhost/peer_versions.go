package jobhost

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// askPeersInterval is how often peers are asked for the configuration.
	askPeersInterval = 400 * time.Millisecond
	// minAskInterval is the least time from the answers of peers until the next are asked, however many
	// requests wait for a confirmation.
	minAskInterval = 100 * time.Millisecond
	// askedPeers is how many peers are asked at a time. Each may answer with the whole configuration.
	askedPeers = 3
	// maxVersionWait bounds how long an owner plans nothing because it lacks a version, so that one
	// which nobody can deliver does not stop its pools.
	maxVersionWait = 2 * time.Second
)

// peerVersions fetches newer versions of the configuration from peers while the log does not answer for
// the operators' partition, and while a job was accepted by a version that this entry host lacks. While
// requests wait for a confirmation of the version in force, it asks the log as well.
type peerVersions struct {
	confirmation

	host *JobHost
	wake chan struct{}
	// position is that of the follower of the operators' partition.
	position *atomic.Int64

	mu sync.Mutex
	// answeredAt is when the log last answered a read of the operators' partition.
	answeredAt time.Time
	// required is the newest version by which a job was accepted, since requiredAt.
	required   int64
	requiredAt time.Time
	// sought is the time up to which requests wait for a confirmation.
	sought time.Time
	// asked is how many peers were asked.
	asked int
}

func newPeerVersions(h *JobHost) *peerVersions {
	return &peerVersions{host: h, wake: make(chan struct{}, 1)}
}

// answered notes an answer of the log.
func (v *peerVersions) answered(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answeredAt = at
}

// require notes that a job was accepted by a version. Until it is in force here, no task may be started
// by what it says: this entry host would then handle requests by an older version than its workers.
func (v *peerVersions) require(version int64, id job.ID) {
	inForce := v.host.operators.version()
	v.mu.Lock()
	known := version <= max(inForce, v.required)
	if !known {
		v.required, v.requiredAt = version, v.host.now()
	}
	v.mu.Unlock()
	if known {
		return
	}
	v.host.events.Event("version-required", "version", version, "in-force", inForce, "job", id)
	v.signal()
}

// signal wakes run.
func (v *peerVersions) signal() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// lacking reports whether a version that is required has not come into force yet.
func (v *peerVersions) lacking(now time.Time) bool {
	inForce := v.host.operators.version()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.required > inForce && now.Sub(v.requiredAt) < maxVersionWait
}

// needed reports whether the log may hold a version that it has not shown to this entry host.
func (v *peerVersions) needed(now time.Time) bool {
	if v.lacking(now) || v.isSought() {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.answeredAt) >= readContactTimeout
}

// run asks peers when needed until ctx ends.
func (v *peerVersions) run(ctx context.Context) {
	for ctx.Err() == nil {
		v.pause(ctx)
		if v.needed(v.host.now()) {
			v.ask(ctx)
			wait(ctx, minAskInterval)
			continue
		}
		// Peers are found by the list of owners, which must be read before the log becomes unreachable.
		v.host.directory.refresh(ctx, idleOwnersMaxAge)
	}
}

func (v *peerVersions) pause(ctx context.Context) {
	timer := time.NewTimer(askPeersInterval)
	defer timer.Stop()
	select {
	case <-v.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask asks the next peers for a newer version than the one in force. The log is asked as well if somebody waits
// for it.
func (v *peerVersions) ask(ctx context.Context) {
	var asked sync.WaitGroup
	if v.isSought() || v.lacking(v.host.now()) {
		asked.Go(func() { v.readToEnd(ctx) })
	}
	for _, address := range v.next() {
		asked.Go(func() { v.askPeer(ctx, address) })
	}
	asked.Wait()
}

func (v *peerVersions) askPeer(ctx context.Context, address netip.AddrPort) {
	sent := v.host.now()
	reply, err := v.host.peers.Configuration(ctx, address, &wire.ConfigurationRequest{Above: v.host.operators.version()})
	if err != nil {
		v.host.directory.markUnresponsive(address)
		v.host.events.Event("peer-silent", "peer", address, "call", "configuration", "error", err)
		return
	}
	if len(reply.GetValue()) > 0 {
		v.host.operators.apply([]keyedlog.Record{{Key: reply.GetKey(), Value: reply.GetValue()}})
	}
	if confirmed := reply.GetConfirmedVersion(); confirmed > 0 && v.host.operators.version() >= confirmed {
		v.confirm(sent.Add(-time.Duration(reply.GetConfirmedAgeMs()) * time.Millisecond))
	}
}

// next returns the peers to ask, others each time.
func (v *peerVersions) next() []netip.AddrPort {
	peers := slices.DeleteFunc(v.host.directory.knownOwners(), v.host.directory.unresponsive)
	slices.SortFunc(peers, netip.AddrPort.Compare)
	v.mu.Lock()
	defer v.mu.Unlock()
	var next []netip.AddrPort
	for range min(askedPeers, len(peers)) {
		next = append(next, peers[v.asked%len(peers)])
		v.asked++
	}
	return next
}
