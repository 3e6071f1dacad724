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

// pool is one pool's queue and retry budget.
type pool struct {
	name    string
	slots   *balance.Pool
	queue   *admission.Queue
	retries *retryBudget
}

// pools keeps the queues in step with the configuration.
type pools struct {
	table *balance.Table

	mu       sync.RWMutex
	byName   map[string]*pool
	document *fleet.Document
}

func newPools(table *balance.Table) *pools {
	return &pools{table: table, byName: map[string]*pool{}, document: &fleet.Document{}}
}

// update takes a new state whose hosts are in the table already.
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

func rulesOf(k fleet.Kind, first bool) admission.KindRules {
	r := admission.KindRules{
		Urgency: k.Urgency, MaxQueue: k.MaxQueue, RunTime: k.RunTime.Std(),
		Needs: balance.Needs{MemoryGB: k.MemoryGB, Accelerators: k.Accelerators},
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

// choose lists the pools that may take a kind here, in order, or says why none can.
func (p *pools) choose(kind string) ([]*pool, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	k, ok := p.document.Kinds[kind]
	if !ok {
		return nil, verdict.Refuse(verdict.CauseUnknownKind, fmt.Sprintf("kind %q is not declared", kind))
	}
	if !p.fitsSomewhere(k) {
		return nil, verdict.Refuse(verdict.CauseNeverFits,
			fmt.Sprintf("kind %q needs %d GB and %d accelerators, and no host of its pools has them", kind, k.MemoryGB, k.Accelerators))
	}
	chosen := []*pool{}
	for _, name := range k.Pools {
		if pl, ok := p.byName[name]; ok && pl.slots.Capacity() > 0 {
			chosen = append(chosen, pl)
		}
	}
	if len(chosen) == 0 {
		return nil, verdict.Refuse(verdict.CauseNoHost, fmt.Sprintf("no host of the pools of kind %q is in service in this data centre", kind))
	}
	return chosen, nil
}

func (p *pools) fitsSomewhere(k fleet.Kind) bool {
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

func (p *pools) quota(team string) int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.document.Teams[team].Quota
}
