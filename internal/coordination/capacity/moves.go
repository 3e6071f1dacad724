package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// planMoves returns the actions that bring each pool closer to the number of machines it
// needs. planned holds the machines that have an action in this plan already.
func (p *Planner) planMoves(view View, plans []*poolPlan, planned map[string]bool) []Action {
	var actions []Action
	short := p.shortPools(plans)
	for _, plan := range plans {
		if plan.Spare || plan.Load == nil {
			continue
		}
		actions = append(actions, p.liftCordons(view, plan, planned)...)
	}
	for _, plan := range short {
		missing := plan.need - plan.serving()
		actions = append(actions, assignSpares(plans, plan, missing, planned)...)
	}
	for _, plan := range plans {
		if plan.Spare || plan.Load == nil {
			continue
		}
		actions = append(actions, p.releaseSurplus(view, plan, plans, short, planned)...)
	}
	return actions
}

// shortPools lists the pools that need more machines, the one that lacks most first.
func (p *Planner) shortPools(plans []*poolPlan) []*poolPlan {
	var short []*poolPlan
	for _, plan := range plans {
		if !plan.Spare && plan.Load != nil && plan.need > plan.serving() {
			short = append(short, plan)
		}
	}
	slices.SortFunc(short, func(a, b *poolPlan) int {
		return cmp.Or(cmp.Compare(b.need-b.serving(), a.need-a.serving()), cmp.Compare(a.Name, b.Name))
	})
	return short
}

// liftCordons lifts the cordons of hosts that were to be released if the pool needs them again.
func (p *Planner) liftCordons(view View, plan *poolPlan, planned map[string]bool) []Action {
	var actions []Action
	missing := plan.need - plan.serving()
	for n := len(plan.machines) - 1; n >= 0 && missing > 0; n-- {
		c := plan.machines[n]
		if !c.cordoned || c.blocked || c.State != machine.Up || planned[c.Name] || (c.due != nil && p.late(c.due, view.Now)) {
			continue
		}
		planned[c.Name] = true
		c.cordoned = false
		missing--
		actions = append(actions, Action{Kind: LiftRestriction, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, Reason: "needed"})
	}
	return actions
}

// assignSpares moves spare machines to a pool, those not due for maintenance first.
func assignSpares(plans []*poolPlan, to *poolPlan, missing int, planned map[string]bool) []Action {
	var actions []Action
	for _, plan := range plans {
		if !plan.Spare {
			continue
		}
		for n := len(plan.machines) - 1; n >= 0 && missing > 0; n-- {
			c := plan.machines[n]
			if c.State != machine.Up || c.blocked || planned[c.Name] {
				continue
			}
			planned[c.Name] = true
			to.incoming++
			missing--
			actions = append(actions, Action{Kind: Move, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, To: to.Name, Reason: "demand"})
		}
	}
	return actions
}

// releaseSurplus cordons hosts that a pool has had in surplus for long enough, and moves
// them once they are vacant: to a pool that is short, else to the spare pool.
func (p *Planner) releaseSurplus(view View, plan *poolPlan, plans, short []*poolPlan, planned map[string]bool) []Action {
	var actions []Action
	surplus := plan.serving() - plan.need
	surplusFor := p.surplusDuration(view, plan, surplus)
	longRunningDue := plan.hasDueLongRunning()
	tooEarly := surplusFor < p.options.ShrinkAfter && len(short) == 0
	for _, c := range plan.machines {
		if c.State != machine.Up || c.blocked || planned[c.Name] {
			continue
		}
		if c.cordoned {
			actions = append(actions, moveVacant(c, plan, plans, short, planned)...)
			continue
		}
		if surplus <= 0 || tooEarly || (c.longRunning > 0 && (longRunningDue || surplusFor < longRunningShrinkFactor*p.options.ShrinkAfter)) {
			continue
		}
		surplus--
		planned[c.Name] = true
		actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, Reason: "surplus"})
	}
	return actions
}

// longRunningShrinkFactor multiplies ShrinkAfter for hosts with long-running tasks, since
// these are unavailable while they move and may move only one after the other. None of
// these hosts is released while long-running tasks wait to leave hosts due in a wave.
const longRunningShrinkFactor = 3

// surplusDuration returns for how long a pool has had more hosts than it needs.
func (p *Planner) surplusDuration(view View, plan *poolPlan, surplus int) time.Duration {
	if surplus <= 0 {
		delete(p.surplusSince, plan.Name)
		return 0
	}
	since, ok := p.surplusSince[plan.Name]
	if !ok {
		since = view.Now
		p.surplusSince[plan.Name] = since
	}
	return view.Now.Sub(since)
}

// moveVacant moves a cordoned host once it is vacant. A host that is due for maintenance is
// maintained first.
func moveVacant(c *candidate, plan *poolPlan, plans, short []*poolPlan, planned map[string]bool) []Action {
	if !c.vacant || c.due != nil {
		return nil
	}
	to, reason := destination(plans, short)
	if to == nil {
		return nil
	}
	planned[c.Name] = true
	to.incoming++
	return []Action{{Kind: Move, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, To: to.Name, Reason: reason}}
}

// destination returns the pool that a released machine moves to and the reason: the first
// pool that is still short, else the spare pool, or nil if there is neither.
func destination(plans, short []*poolPlan) (to *poolPlan, reason string) {
	for _, plan := range short {
		if plan.need > plan.serving() {
			return plan, "demand"
		}
	}
	for _, plan := range plans {
		if plan.Spare {
			return plan, "surplus"
		}
	}
	return nil, ""
}
