package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// moves brings each pool towards its need.
func (p *Planner) moves(view View, plans []*poolPlan, taken map[string]bool) []Action {
	var actions []Action
	short := p.short(plans)
	for _, plan := range plans {
		if plan.Spare || plan.Load == nil {
			continue
		}
		actions = append(actions, p.lift(view, plan, taken)...)
	}
	for _, plan := range short {
		missing := plan.need - plan.serving()
		actions = append(actions, takeSpare(plans, plan, missing, taken)...)
	}
	for _, plan := range plans {
		if plan.Spare || plan.Load == nil {
			continue
		}
		actions = append(actions, p.giveUp(view, plan, plans, short, taken)...)
	}
	return actions
}

// short lists the pools that need more, the one that lacks most first.
func (p *Planner) short(plans []*poolPlan) []*poolPlan {
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

// lift takes cordons back that were set to give hosts up, when the pool needs them.
func (p *Planner) lift(view View, plan *poolPlan, taken map[string]bool) []Action {
	var actions []Action
	missing := plan.need - plan.serving()
	for n := len(plan.machines) - 1; n >= 0 && missing > 0; n-- {
		c := plan.machines[n]
		if !c.cordoned || c.ordered || c.State != machine.Up || taken[c.Name] || (c.due != nil && p.late(c.due, view.Now)) {
			continue
		}
		taken[c.Name] = true
		c.cordoned = false
		missing--
		actions = append(actions, Action{Kind: Lift, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, Reason: "needed"})
	}
	return actions
}

// takeSpare moves spare machines to a pool, those first that are not due for maintenance.
func takeSpare(plans []*poolPlan, to *poolPlan, missing int, taken map[string]bool) []Action {
	var actions []Action
	for _, plan := range plans {
		if !plan.Spare {
			continue
		}
		for n := len(plan.machines) - 1; n >= 0 && missing > 0; n-- {
			c := plan.machines[n]
			if c.State != machine.Up || c.ordered || taken[c.Name] {
				continue
			}
			taken[c.Name] = true
			to.coming++
			missing--
			actions = append(actions, Action{Kind: Move, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, To: to.Name, Reason: "demand"})
		}
	}
	return actions
}

// giveUp cordons the hosts that a pool has had too many of, and moves them on when
// they are vacant: to a pool that is short, else to the spares.
func (p *Planner) giveUp(view View, plan *poolPlan, plans, short []*poolPlan, taken map[string]bool) []Action {
	var actions []Action
	surplus := plan.serving() - plan.need
	since := p.surplusFor(view, plan, surplus)
	inWave := plan.dueTasks()
	patient := since < p.options.ShrinkAfter && len(short) == 0
	for _, c := range plan.machines {
		if c.State != machine.Up || c.ordered || taken[c.Name] {
			continue
		}
		if c.cordoned {
			actions = append(actions, moveOn(c, plan, plans, short, taken)...)
			continue
		}
		if surplus <= 0 || patient || (c.longRunning > 0 && (inWave || since < lastingPatience*p.options.ShrinkAfter)) {
			continue
		}
		surplus--
		taken[c.Name] = true
		actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, Reason: "surplus"})
	}
	return actions
}

// lastingPatience times the usual time is how long a host with long-running tasks must be
// too much before it is given up: they are away for a while, and may leave only one after
// the other. In a wave none is given up, since others wait to leave.
const lastingPatience = 3

// surplusFor tells for how long a pool has had too many hosts.
func (p *Planner) surplusFor(view View, plan *poolPlan, surplus int) time.Duration {
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

// moveOn moves a cordoned host that is vacant; one that is due for maintenance has
// that first.
func moveOn(c *candidate, plan *poolPlan, plans, short []*poolPlan, taken map[string]bool) []Action {
	if !c.vacant || c.due != nil {
		return nil
	}
	to, reason := destination(plans, short)
	if to == nil {
		return nil
	}
	taken[c.Name] = true
	to.coming++
	return []Action{{Kind: Move, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, To: to.Name, Reason: reason}}
}

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
