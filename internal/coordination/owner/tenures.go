package owner

import (
	"slices"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// apply begins and ends tenures by an assignment, and reports whether a partition was released.
func (k *Keeper) apply(before []keyedlog.Partition, a keyedlog.Assignment, gap bool) bool {
	released := false
	for _, p := range before {
		if gap || !slices.Contains(a.Partitions, p) {
			k.release(p)
			k.events.Event("partition-released", "topic", p.Topic, "partition", p.Number, "generation", a.Generation, "gap", gap)
			released = true
		}
	}
	for _, p := range a.Partitions {
		if gap || !slices.Contains(before, p) {
			k.events.Event("partition-acquired", "topic", p.Topic, "partition", p.Number, "token", a.Generation)
			k.acquire(p, a.Generation)
		}
	}
	return released
}

// acquire begins a tenure. The caller holds callLock.
func (k *Keeper) acquire(p keyedlog.Partition, token int64) {
	k.tokens[p] = token
	k.holder.Acquire(p, token)
}

// release ends a tenure. The caller holds callLock.
func (k *Keeper) release(p keyedlog.Partition) {
	delete(k.tokens, p)
	k.holder.Release(p)
}

// Reacquire replaces the tenure with the given token, because a later owner of the partition
// was seen; it does nothing if that tenure has ended. The new tenure begins at once if a newer
// generation is known, and otherwise with the next join; its token is the newest generation.
func (k *Keeper) Reacquire(p keyedlog.Partition, token int64) {
	// The lock keeps out a renewal that releases the partition at the same time.
	k.callLock <- struct{}{}
	defer func() { <-k.callLock }()
	if held, ok := k.tokens[p]; !ok || held != token {
		return
	}
	k.mu.Lock()
	generation := k.generation
	if generation <= token {
		// The next join acquires it again with the then current generation.
		k.held = slices.DeleteFunc(slices.Clone(k.held), func(o keyedlog.Partition) bool { return o == p })
	}
	k.mu.Unlock()
	k.release(p)
	if generation > token {
		k.acquire(p, generation)
	}
}
