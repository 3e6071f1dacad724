package dispatch

import (
	"fmt"
	"sync"

	"github.com/hornbeammast/hornbeammast/internal/coordination/admission"
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// pool holds the slots, the queue and the retry budget of one pool.
type pool struct {
	name    string
	slots   *balance.Pool
	queue   *admission.Queue
	retries *retryBudget
}

// pools holds the pools of the configuration in force by name.
type pools struct {
	table *balance.Table

	mu       sync.RWMutex
	byName   map[string]*pool
	document *fleet.Document
}

func newPools(table *balance.Table) *pools {
	return &pools{table: table, byName: map[string]*pool{}, document: &fleet.Document{}}
}

// update adds the new pools of a state and sets the rules of all queues. The
// state's hosts must be in the table already.
func (p *pools) update(s *state.State) {
	rules := map[string]map[string]admission.KindRules{}
	for name, k := range s.Document.Kinds {
		for n, poolName := range k.Pools {
			if rules[poolName] == nil {
				rules[poolName] = map[string]admission.KindRules{}
			}
			rules[poolName][name] = rulesOf(k, n == 0)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.document = s.Document
	for name := range s.Document.Pools {
		slots, ok := p.table.Pool(name)
		if !ok {
			continue
		}
		if _, ok := p.byName[name]; !ok {
			p.byName[name] = &pool{name: name, slots: slots, queue: admission.NewQueue(slots), retries: newRetryBudget()}
		}
	}
	for name, pl := range p.byName {
		pl.queue.SetRules(rules[name])
	}
}

// rulesOf returns the rules of a kind in one of its pools. The guarantee applies
// only in the first pool of the kind.
func rulesOf(k fleet.Kind, first bool) admission.KindRules {
	r := admission.KindRules{
		Urgency: k.Urgency, MaxQueue: k.MaxQueue, RunTime: k.RunTime.Std(),
		Requirements: balance.Requirements{MemoryGB: k.MemoryGB, Accelerators: k.Accelerators},
	}
	if first {
		r.Guarantee = k.Guarantee
	}
	return r
}

func (p *pools) all() []*pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make([]*pool, 0, len(p.byName))
	for _, pl := range p.byName {
		all = append(all, pl)
	}
	return all
}

// choose returns the pools of a kind that have capacity in this data centre, in
// the kind's order of preference, or a refusal if there are none.
func (p *pools) choose(kind string) ([]*pool, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	k, ok := p.document.Kinds[kind]
	if !ok {
		return nil, verdict.NotRunError(verdict.CauseUnknownKind, fmt.Sprintf("kind %q is not declared", kind))
	}
	if !p.fitsAnyHost(k) {
		return nil, verdict.NotRunError(verdict.CauseNeverFits,
			fmt.Sprintf("kind %q needs %d GB of memory and %d accelerators, and no host in its pools has that much", kind, k.MemoryGB, k.Accelerators))
	}
	chosen := []*pool{}
	for _, name := range k.Pools {
		if pl, ok := p.byName[name]; ok && pl.slots.Capacity() > 0 {
			chosen = append(chosen, pl)
		}
	}
	if len(chosen) == 0 {
		return nil, verdict.NotRunError(verdict.CauseNoHost, fmt.Sprintf("no host in the pools of kind %q is in service in this data centre", kind))
	}
	return chosen, nil
}

// fitsAnyHost reports whether a host of the kind's pools has the memory and the
// accelerators that the kind needs.
func (p *pools) fitsAnyHost(k fleet.Kind) bool {
	if k.MemoryGB == 0 && k.Accelerators == 0 {
		return true
	}
	for _, h := range p.document.Hosts {
		for _, name := range k.Pools {
			if h.Pool == name && h.MemoryGB >= k.MemoryGB && h.Accelerators >= k.Accelerators {
				return true
			}
		}
	}
	return false
}

// quota returns the quota of a team, 0 if the configuration sets none.
func (p *pools) quota(team string) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.document.Teams[team].Quota
}
