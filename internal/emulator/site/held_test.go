package site

import (
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// heldTimeout is how long after the last job an owner may hold runs that no host has: the
// longest lease, twice, since the owner may have changed.
const heldTimeout = 2 * maxLease

// checkNothingHeld fails the test if an owner still holds a start of a site without open
// starts, or a run that its host doesn't have.
func (f *fixture) checkNothingHeld() {
	f.t.Helper()
	var held []string
	for deadline := time.Now().Add(heldTimeout); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if held = f.held(); len(held) == 0 {
			return
		}
	}
	if diff := cmp.Diff([]string(nil), held); diff != "" {
		f.t.Errorf("lost: capacity held for runs that no host has (-want +got):\n%s", diff)
	}
}

// held returns the hosts for which an owner counts more runs than there are.
func (f *fixture) held() []string {
	live := f.site.Ledger().liveRuns()
	var held []string
	for _, pool := range configuration.Pools {
		owner := f.site.Owner(pool.Name)
		if owner == nil {
			continue
		}
		for _, dump := range owner.Dump().Pools {
			if dump.Pool != pool.Name {
				continue
			}
			for _, h := range dump.Hosts {
				if h.Unsent > 0 || h.InFlight > 0 || h.Runs > live[h.ID] {
					held = append(held, fmt.Sprintf("%s of %s: %d runs, %d unsent, %d starts in flight; %d live", h.ID, pool.Name, h.Runs, h.Unsent, h.InFlight, live[h.ID]))
				}
			}
		}
	}
	return held
}

// liveRuns returns how many runs each worker has.
func (l *Ledger) liveRuns() map[worker.ID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := map[worker.ID]int{}
	for _, h := range l.tasks {
		for _, id := range h.running {
			live[id]++
		}
	}
	return live
}
