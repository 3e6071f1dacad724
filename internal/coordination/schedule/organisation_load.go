package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// FleetLoad returns the load for a decider on quotas, whose token counts as seen. It leaves out the
// organisations of which the decider needs to know nothing now; a decider with token 0 gets none.
func (p *Pool) FleetLoad(fleetToken int64, now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.organisations
	s.see(fleetToken)
	if fleetToken > 0 && fleetToken == s.fleetToken {
		s.heardAt = now
	}
	load := p.load(now)
	for name, use := range load.Organisations {
		o := s.byName[name]
		idle := use.Used == 0 && use.Wanted == 0
		if fleetToken == 0 || (idle && (s.sequence > 0 || use.Part == quota.Floor(s.pools))) ||
			(s.sequence > 0 && !use.Urgent() && now.Sub(o.listedAt) < quota.ListInterval) {
			delete(load.Organisations, name)
			continue
		}
		o.listedAt = now
	}
	return load
}

// addDemand adds the open tasks of a step to what its organisation wants. Those that come too late
// count: they run if there is room.
func (e *jobEntry) addDemand(def *job.Step, tasks int) {
	if e.organisation == nil || !e.organisation.isLimited() {
		return
	}
	e.organisation.demand = e.organisation.demand.Plus(def.Needs.Times(tasks))
}

// organisationLoads adds the use of the organisations with a quota to a load, and clears their demand.
func (p *Pool) organisationLoads(load *Load, now time.Time) {
	s := &p.organisations
	load.FleetToken, load.AllotSequence = s.fleetToken, s.sequence
	if s.limited == 0 {
		return
	}
	p.countPending(now)
	load.Organisations = make(map[string]quota.Use, s.limited)
	for name, o := range s.byName {
		if o.isLimited() {
			used := o.fraction(o.used.Plus(o.pending))
			load.Organisations[name] = quota.Use{Part: s.partOf(o), Used: used, Wanted: max(used, o.fraction(o.demand))}
		}
		o.demand = worker.Resources{}
	}
}
