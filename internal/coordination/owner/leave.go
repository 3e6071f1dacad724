package owner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/hedge"
)

const (
	// leaveInterval is how often the leave is repeated while the host may be a member all the same.
	leaveInterval = 300 * time.Millisecond
	// lateCallTime is how long a call without an answer may still be carried out. A join that is
	// carried out after the leave makes the host a member again.
	lateCallTime = 10 * time.Second
)

// errLeft is returned by renew after Leave, once the host can't become a member again, and ends
// Run; errNotStanding is returned while the host does not want to be a member.
var (
	errLeft        = errors.New("the member has left the group")
	errNotStanding = errors.New("the host does not stand for ownership")
)

// Resign releases all partitions and leaves the group until Stand is called again. If the
// log does not answer, the membership expires by itself.
func (k *Keeper) Resign(ctx context.Context) error {
	return k.leave(ctx, func() { k.stands = false })
}

// Leave releases all partitions and leaves the group for good. Run repeats a leave without an
// answer.
func (k *Keeper) Leave(ctx context.Context) error {
	return k.leave(ctx, func() { k.left = true })
}

// leave releases all partitions, marks the membership as ended, and leaves the group.
func (k *Keeper) leave(ctx context.Context, mark func()) error {
	k.callLock <- struct{}{}
	defer func() { <-k.callLock }()
	k.mu.Lock()
	held, member := k.held, k.stands
	k.held, k.generation, k.joined = nil, 0, false
	mark()
	k.mu.Unlock()
	for _, p := range held {
		k.release(p)
	}
	defer k.wake()
	if !member {
		return nil
	}
	return k.callLeave(ctx)
}

// endFormerMembership repeats the last leave if it has no answer. Otherwise a join could continue the
// former membership, and its tenures would begin again with the same tokens, so that workers could
// not tell their orders apart. The caller holds callLock.
func (k *Keeper) endFormerMembership(ctx context.Context) error {
	k.mu.Lock()
	unconfirmed := k.leaveUnconfirmed
	if unconfirmed {
		k.failures++
	}
	k.mu.Unlock()
	if !unconfirmed {
		return nil
	}
	return k.callLeave(ctx)
}

// callLeave asks the group to remove the member. The call lock is held.
func (k *Keeper) callLeave(ctx context.Context) error {
	k.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, k.timeout())
	wait := k.repeatWait()
	k.mu.Unlock()
	defer cancel()
	_, err := hedge.Do(ctx, wait, func(ctx context.Context, _ int) (struct{}, error) {
		return struct{}{}, k.group.Leave(ctx, k.request.Group, k.request.Member)
	})
	k.mu.Lock()
	k.leaveUnconfirmed = err != nil
	k.mu.Unlock()
	return err
}

// mayBeMember reports whether the group may count the host as a member, or do so again, although
// it has left. The lock is held.
func (k *Keeper) mayBeMember(now time.Time) bool {
	return k.leaveUnconfirmed || now.Before(k.mayRejoinUntil)
}

// stayOut waits until the host stands again. It repeats the leave while the group may count the
// host as a member, since partitions that are assigned to it have no owner.
func (k *Keeper) stayOut(ctx context.Context) {
	k.mu.Lock()
	again := k.mayBeMember(k.now())
	k.mu.Unlock()
	if !again {
		k.awaitChange(ctx, idleInterval)
		return
	}
	if k.awaitChange(ctx, leaveInterval) {
		return
	}
	k.callLock <- struct{}{}
	defer func() { <-k.callLock }()
	if errors.Is(k.membershipWanted(), errNotStanding) {
		_ = k.callLeave(ctx) // It is repeated.
	}
}
