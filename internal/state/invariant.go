package state

import (
	"fmt"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// checkInvariants panics if an accepted record violated an invariant of the state: a
// process must not act on a state that was folded wrongly.
func (s *State) checkInvariants(before *State, record *wire.Record) {
	if s.Version < before.Version {
		panic(fmt.Sprintf("version went back from %d to %d", before.Version, s.Version))
	}
	if drain := record.GetDrain(); drain != nil {
		pool := before.Hosts[drain.GetHost()].Pool
		if breach := s.Availability(pool).Breach(s.Document.Pools[pool].Budget); breach != "" {
			panic(fmt.Sprintf("a drain broke the budget of pool %q: %s", pool, breach))
		}
	}
	for name, h := range s.Hosts {
		if (h.Pool == "") != (h.Phase == Released) {
			panic(fmt.Sprintf("host %q is %s and in pool %q", name, h.Phase, h.Pool))
		}
		if h.Pool != "" && s.Document.Hosts[name].Pool != h.Pool {
			panic(fmt.Sprintf("host %q is in pool %q and declared in %q", name, h.Pool, s.Document.Hosts[name].Pool))
		}
	}
}
