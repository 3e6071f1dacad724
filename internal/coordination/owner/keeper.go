// Package owner keeps the membership of an entry host in a group of the log, and starts
// and stops work on the partitions that the log assigns to it.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/hedge"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

const (
	// RenewInterval is how often the membership is renewed. Four renewals fit into the shortest
	// TTL in use, so that one or two lost calls do not lose the partitions.
	RenewInterval = 300 * time.Millisecond
	// maxJoinTimeout bounds one renewal.
	maxJoinTimeout = 900 * time.Millisecond
	// minRenewPause is the shortest pause between two renewals.
	minRenewPause = 50 * time.Millisecond
	// minRepeatWait is the shortest time after which a call without an answer is repeated.
	minRepeatWait = 60 * time.Millisecond
	// minJoinTimeout is the shortest time after which a renewal without an answer has failed.
	minJoinTimeout = 250 * time.Millisecond
	// joinLatencyFactor is the timeout of a renewal, and the wait before its join is repeated, as
	// a multiple of the last one's duration. The timeout doubles with each failure, since the log
	// may have become slow.
	joinLatencyFactor = 8
	// idleInterval is how often a host that does not stand looks whether it does.
	idleInterval = time.Minute
)

// Group assigns partitions to its members.
type Group interface {
	Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Assignment, error)
	Leave(ctx context.Context, group, member string) error
}

// TenureHolder starts and stops work on assigned partitions.
type TenureHolder interface {
	// Acquire begins a tenure with its fencing token.
	Acquire(partition keyedlog.Partition, token int64)
	// Release ends a tenure; no order is sent after it returns.
	Release(partition keyedlog.Partition)
}

// Events logs one structured line per change.
type Events interface {
	Event(name string, pairs ...any)
}

// Keeper renews the membership and notifies the holder of acquired and released partitions.
type Keeper struct {
	group   Group
	holder  TenureHolder
	events  Events
	now     func() time.Time
	request keyedlog.JoinRequest

	// changed wakes Run after a change of stands.
	changed chan struct{}
	// callLock is held during a call and while its outcome is applied, so that no join
	// follows the leave, and tenures change one at a time. It is a channel rather than a
	// mutex because it is held during network calls.
	callLock chan struct{}
	// tokens holds the token of each tenure that the holder has; it is used under callLock.
	tokens map[keyedlog.Partition]int64

	mu sync.Mutex
	// confirmed is when the last successful join was sent.
	confirmed time.Time
	// latency is the duration of that join.
	latency time.Duration
	// failures counts the renewals since then.
	failures int
	// mayRejoinUntil is when the joins without an answer can't be carried out any more.
	mayRejoinUntil time.Time
	// leaveUnconfirmed is set while the last leave has no answer.
	leaveUnconfirmed bool
	generation       int64
	held             []keyedlog.Partition
	// stands is whether the host wants to be a member now; left is set by Leave, for good.
	stands, left bool
	// joined is whether a join has succeeded since the host last began to stand.
	joined bool
}

// New creates a keeper, which is not a member until Stand is called. The clock now must keep
// advancing while the machine is suspended.
func New(group Group, holder TenureHolder, events Events, now func() time.Time, request keyedlog.JoinRequest) *Keeper {
	return &Keeper{
		group: group, holder: holder, events: events, now: now, request: request,
		changed: make(chan struct{}, 1), callLock: make(chan struct{}, 1), tokens: map[keyedlog.Partition]int64{},
	}
}

// Stand makes Run join the group and keep the membership.
func (k *Keeper) Stand() {
	k.mu.Lock()
	k.stands = true
	k.mu.Unlock()
	k.wake()
}

// wake makes Run look at once whether the membership is wanted.
func (k *Keeper) wake() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Confirmed returns when the last successful renewal was sent.
func (k *Keeper) Confirmed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}

// membership returns the newest generation and when the last successful renewal was sent.
func (k *Keeper) membership() (generation int64, confirmed time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.generation, k.confirmed
}

// Joined reports whether the host is a member as far as it knows.
func (k *Keeper) Joined() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.joined
}

// Latency returns the duration of the last successful renewal.
func (k *Keeper) Latency() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latency
}

// Run renews the membership until ctx ends or the member leaves.
func (k *Keeper) Run(ctx context.Context) {
	healthy := true
	for ctx.Err() == nil {
		began := k.now()
		released, err := k.renew(ctx)
		if errors.Is(err, errNotStanding) {
			healthy = true
			k.stayOut(ctx)
			continue
		}
		if errors.Is(err, errLeft) {
			return
		}
		if (err == nil) != healthy {
			healthy = err == nil
			generation, confirmed := k.membership()
			k.events.Event("membership-"+map[bool]string{true: "regained", false: "lost"}[healthy],
				"generation", generation, "confirmed", confirmed, "error", err)
		}
		if released {
			// Joining with the new generation tells the log that the partitions are
			// released and may be assigned to others.
			continue
		}
		// A renewal whose answer was lost is repeated soon, before the membership expires.
		k.awaitChange(ctx, max(minRenewPause, RenewInterval-k.now().Sub(began)))
	}
}

// timeout returns how long to wait for the answer to the next renewal. The lock is held.
func (k *Keeper) timeout() time.Duration {
	timeout := max(minJoinTimeout, joinLatencyFactor*k.latency)
	for range k.failures {
		timeout = min(maxJoinTimeout, 2*timeout)
	}
	return min(maxJoinTimeout, timeout)
}

// repeatWait returns how long to wait for an answer before a call is repeated. The lock is held.
func (k *Keeper) repeatWait() time.Duration {
	return max(minRepeatWait, joinLatencyFactor*k.latency)
}

// join is the answer to one join.
type join struct {
	keyedlog.Assignment
	sent time.Time
	took time.Duration
}

// renew joins and applies the assignment; it reports whether a partition was released.
func (k *Keeper) renew(ctx context.Context) (released bool, err error) {
	k.callLock <- struct{}{}
	defer func() { <-k.callLock }()
	if err := k.membershipWanted(); err != nil {
		return false, err
	}
	if err := k.endFormerMembership(ctx); err != nil {
		return false, err
	}
	k.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, k.timeout())
	wait := k.repeatWait()
	k.failures++
	k.mu.Unlock()
	defer cancel()
	request := k.request
	request.Generation = k.generation
	j, err := hedge.Do(ctx, wait, func(ctx context.Context, _ int) (join, error) { return k.join(ctx, request) })
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	// After a gap in which the membership may have expired, others may have held the
	// partitions, unless the generation is unchanged.
	gap := j.sent.Sub(k.confirmed) >= k.request.TTL && j.Generation != k.generation
	k.failures = 0
	before := k.held
	k.held, k.generation, k.confirmed, k.latency, k.joined = j.Partitions, j.Generation, j.sent, j.took, true
	k.mu.Unlock()
	return k.apply(before, j.Assignment, gap), nil
}

// join asks the group once. A join without an answer may be carried out later.
func (k *Keeper) join(ctx context.Context, request keyedlog.JoinRequest) (join, error) {
	sent := k.now()
	a, err := k.group.Join(ctx, request)
	if err != nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		if until := sent.Add(lateCallTime); until.After(k.mayRejoinUntil) {
			k.mayRejoinUntil = until
		}
		return join{}, err
	}
	return join{a, sent, k.now().Sub(sent)}, nil
}

func (k *Keeper) membershipWanted() error {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.left && !k.mayBeMember(now):
		return errLeft
	case k.left, !k.stands:
		return errNotStanding
	default:
		return nil
	}
}

// awaitChange waits for a change of what the host wants, for d at most, and reports whether there
// was one or ctx has ended.
func (k *Keeper) awaitChange(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-k.changed:
		return true
	case <-ctx.Done():
		return true
	case <-timer.C:
		return false
	}
}
