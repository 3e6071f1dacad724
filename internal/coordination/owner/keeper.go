// Package owner keeps this entry host's share of the partitions, which the log
// deals to the members of a group.
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

const (
	// Interval is how often the membership is renewed; four fit into the shortest TTL
	// in use, so that a lost call or two don't lose the partitions.
	Interval = 300 * time.Millisecond
	// joinTimeout bounds one call.
	joinTimeout = 900 * time.Millisecond
)

// Group deals partitions to members.
type Group interface {
	Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Membership, error)
	Leave(ctx context.Context, group, member string) error
}

// Holder acts for the partitions that are held.
type Holder interface {
	// Acquire begins a tenure with its fencing token.
	Acquire(partition keyedlog.Partition, token int64)
	// Release ends a tenure; when it returns, nothing more is ordered.
	Release(partition keyedlog.Partition)
}

// Events takes one line for each change.
type Events interface {
	Event(name string, pairs ...any)
}

// Keeper renews the membership and tells the holder what changed.
type Keeper struct {
	group   Group
	holder  Holder
	events  Events
	now     func() time.Time
	request keyedlog.JoinRequest

	// calling is held during a call and while its outcome is applied, so that no join
	// follows the leave, and tenures change one at a time.
	// It is a channel, since it is held while a call waits.
	calling chan struct{}

	mu sync.Mutex
	// confirmed is when the last call that succeeded was sent.
	confirmed time.Time
	// took is how long that call took.
	took       time.Duration
	generation int64
	held       []keyedlog.Partition
	stopped    bool
}

// New makes a keeper; now must go on while the machine is suspended.
func New(group Group, holder Holder, events Events, now func() time.Time, request keyedlog.JoinRequest) *Keeper {
	return &Keeper{group: group, holder: holder, events: events, now: now, request: request, calling: make(chan struct{}, 1)}
}

// Confirmed is since when the log is known to have confirmed the membership.
func (k *Keeper) Confirmed() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}

// Latency is how long the log took for the last renewal.
func (k *Keeper) Latency() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.took
}

// Run keeps the membership until ctx ends or the member leaves.
func (k *Keeper) Run(ctx context.Context) {
	healthy := true
	for ctx.Err() == nil {
		changed, err := k.renew(ctx)
		if errors.Is(err, errLeft) {
			return
		}
		if (err == nil) != healthy {
			healthy = err == nil
			k.events.Event("membership-"+map[bool]string{true: "regained", false: "lost"}[healthy],
				"generation", k.generation, "confirmed", k.Confirmed(), "error", err)
		}
		if changed {
			// Joining with the new generation lets others have what was released.
			continue
		}
		_ = pause.For(ctx, Interval)
	}
}

// renew joins once; it tells whether a partition was released.
func (k *Keeper) renew(ctx context.Context) (changed bool, err error) {
	k.calling <- struct{}{}
	defer func() { <-k.calling }()
	if k.hasLeft() {
		return false, errLeft
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	request := k.request
	request.Generation = k.generation
	sent := k.now()
	m, err := k.group.Join(ctx, request)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	// After a gap in which the membership may have run out, others may have held
	// the partitions; an unchanged generation shows that none has.
	gap := sent.Sub(k.confirmed) >= k.request.TTL && m.Generation != k.generation
	before := k.held
	k.held, k.generation, k.confirmed, k.took = m.Partitions, m.Generation, sent, k.now().Sub(sent)
	k.mu.Unlock()
	return k.apply(before, m, gap), nil
}

func (k *Keeper) apply(before []keyedlog.Partition, m keyedlog.Membership, gap bool) bool {
	released := false
	for _, p := range before {
		if gap || !slices.Contains(m.Partitions, p) {
			k.holder.Release(p)
			k.events.Event("partition-released", "topic", p.Topic, "partition", p.Number, "generation", m.Generation, "gap", gap)
			released = true
		}
	}
	for _, p := range m.Partitions {
		if gap || !slices.Contains(before, p) {
			k.events.Event("partition-acquired", "topic", p.Topic, "partition", p.Number, "token", m.Generation)
			k.holder.Acquire(p, m.Generation)
		}
	}
	return released
}

// Reacquire begins a new tenure of a partition that a later owner was seen to
// have had, with the newest generation as its token.
func (k *Keeper) Reacquire(p keyedlog.Partition, token int64) {
	// A renewal that takes the partition away must not come between.
	k.calling <- struct{}{}
	defer func() { <-k.calling }()
	k.mu.Lock()
	generation := k.generation
	held := slices.Contains(k.held, p)
	if held && generation <= token {
		// Acquired again as soon as a join shows a newer generation.
		k.held = slices.DeleteFunc(slices.Clone(k.held), func(o keyedlog.Partition) bool { return o == p })
	}
	k.mu.Unlock()
	if !held {
		return
	}
	k.holder.Release(p)
	if generation > token {
		k.holder.Acquire(p, generation)
	}
}

// errLeft ends the renewals.
var errLeft = errors.New("the member has left the group")

func (k *Keeper) hasLeft() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopped
}

// Leave gives all partitions to the others.
func (k *Keeper) Leave(ctx context.Context) error {
	k.calling <- struct{}{}
	defer func() { <-k.calling }()
	k.mu.Lock()
	held := k.held
	k.held, k.stopped = nil, true
	k.mu.Unlock()
	for _, p := range held {
		k.holder.Release(p)
	}
	return k.group.Leave(ctx, k.request.Group, k.request.Member)
}
