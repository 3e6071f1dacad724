package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// NaivePlanFor is the baseline that planners are measured against. It assumes that each
// pool has a spare host of its own: it drains one host of the whole fleet at a time, takes
// the pools in the order of their names, and lends no host.
func NaivePlanFor(s *state.State, dataCentre string, _ Demand, now time.Time) Plan {
	p := &planner{s: s, dc: dataCentre, now: now, interval: s.Document.Maintenance.Interval.Std()}
	p.plan = Plan{DataCentre: dataCentre}
	if p.idleReason() != "" || !p.waveUnderWay() {
		return p.plan
	}
	for _, h := range s.Hosts {
		if h.Phase != state.InService && h.Phase != state.Failed {
			return p.plan
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(s.Document.Pools)) {
		for _, name := range s.HostNames() {
			h := s.Hosts[name]
			if h.Pool != pool || h.Phase != state.InService || now.Sub(h.MaintainedAt) < p.interval/2 {
				continue
			}
			if s.Document.Hosts[name].DataCentre == dataCentre {
				p.plan.propose(DrainForReboot, name, "", "next in order")
			}
			return p.plan
		}
	}
	return p.plan
}

// GreedyPlanFor drains all hosts that the budgets allow, the most overdue first, and lends
// none. It is an alternative that PlanFor is compared with.
func GreedyPlanFor(s *state.State, dataCentre string, demand Demand, now time.Time) Plan {
	plan := PlanFor(s, dataCentre, demand, now)
	plan.Proposals = slices.DeleteFunc(plan.Proposals, func(p Proposal) bool { return p.Action == LendHost })
	return plan
}
