package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// poolPlan is what a plan works out for one pool.
type poolPlan struct {
	Pool
	// machines are those in the pool, moving ones included, in the order in which
	// they are given up.
	machines []*candidate
	need     int
	coming   int
}

// candidate is a machine with its use.
type candidate struct {
	*machine.Machine
	runs, longRunning int
	cordoned, vacant  bool
	loss              int64
	due               *Wave
	ordered           bool
}

// Need is what a plan found for one pool.
type Need struct {
	Pool          string
	Need, Serving int
	WantedCPU     int64
}

// Plan gives the actions to take now, and what each pool needs and has.
func (p *Planner) Plan(view View) ([]Action, []Need) {
	plans := p.pools(view)
	var needs []Need
	for _, plan := range plans {
		if plan.Load != nil {
			needs = append(needs, Need{plan.Name, plan.need, plan.serving(), plan.Load.Wanted.CPU})
		}
	}
	var actions []Action
	actions = append(actions, p.waves(view, plans)...)
	taken := map[string]bool{}
	for _, a := range actions {
		taken[a.Machine] = true
	}
	return append(actions, p.moves(view, plans, taken)...), needs
}

// pools works out what each pool has and needs.
func (p *Planner) pools(view View) []*poolPlan {
	var plans []*poolPlan
	for _, pool := range view.Pools {
		plans = append(plans, &poolPlan{Pool: pool})
	}
	for n := range view.Machines {
		m := &view.Machines[n]
		if i := slices.IndexFunc(plans, func(plan *poolPlan) bool { return plan.Name == m.Pool }); i >= 0 {
			plans[i].machines = append(plans[i].machines, view.candidate(m, &plans[i].Pool))
		}
	}
	for _, o := range view.Ordered {
		if o.Action.Kind != Move {
			continue
		}
		if i := slices.IndexFunc(plans, func(plan *poolPlan) bool { return plan.Name == o.Action.To }); i >= 0 {
			if !slices.ContainsFunc(plans[i].machines, func(c *candidate) bool { return c.Name == o.Action.Machine }) {
				plans[i].coming++
			}
		}
	}
	for _, plan := range plans {
		plan.need = p.need(plan, view.Now)
		slices.SortFunc(plan.machines, compareSurplus)
	}
	share(plans)
	return plans
}

// share bounds the needs by the machines that there are: a pool that asks for little
// gets it, and those that ask for more share what is left evenly.
func share(plans []*poolPlan) {
	left := 0
	var asking []*poolPlan
	for _, plan := range plans {
		for _, c := range plan.machines {
			if c.State != machine.Down {
				left++
			}
		}
		if plan.Load != nil {
			asking = append(asking, plan)
		} else if !plan.Spare {
			// Its owner does not answer; it keeps what it has.
			left -= len(plan.machines)
		}
	}
	slices.SortFunc(asking, func(a, b *poolPlan) int { return cmp.Or(cmp.Compare(a.need, b.need), cmp.Compare(a.Name, b.Name)) })
	for n, plan := range asking {
		plan.need = min(plan.need, max(0, left)/(len(asking)-n))
		left -= plan.need
	}
}

func (v *View) candidate(m *machine.Machine, pool *Pool) *candidate {
	c := &candidate{Machine: m}
	_, c.ordered = v.Ordered[m.Name]
	for n := range v.Waves {
		w := &v.Waves[n]
		if slices.Contains(w.Machines, m.Name) && !w.Begun[m.Name] {
			c.due = w
		}
	}
	if pool.Spare {
		c.cordoned, c.vacant = true, true
		return c
	}
	if pool.Load == nil {
		return c
	}
	h, ok := pool.Load.Hosts[m.Worker]
	c.runs, c.longRunning, c.cordoned, c.vacant, c.loss = h.Runs, h.LongRunning, h.Cordoned, h.Vacant, h.Loss
	if !ok {
		// The pool does not know the worker yet, so nothing runs there.
		c.vacant = true
	}
	return c
}

// compareSurplus puts first what a pool gives up first: what it would lose least
// by, and among equals what is due for maintenance anyway.
func compareSurplus(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(!a.cordoned), boolRank(!b.cordoned)),
		cmp.Compare(a.longRunning, b.longRunning),
		cmp.Compare(boolRank(a.due == nil), boolRank(b.due == nil)),
		cmp.Compare(a.runs, b.runs),
		cmp.Compare(a.loss, b.loss),
		cmp.Compare(a.Name, b.Name),
	)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// need is how many hosts a pool's demand asks for.
func (p *Planner) need(plan *poolPlan, now time.Time) int {
	if plan.Spare || plan.Load == nil || len(plan.machines) == 0 {
		return 0
	}
	var size worker.Resources
	for _, c := range plan.machines {
		size = size.Plus(c.Capacity)
	}
	n := int64(len(plan.machines))
	hosts := func(wanted worker.Resources) int {
		return int(math.Ceil(p.options.Headroom * max(ratio(wanted.CPU, size.CPU/n), ratio(wanted.MemoryMB, size.MemoryMB/n))))
	}
	need := max(p.options.FloorHosts, hosts(p.expected(plan.Name, plan.Load.Wanted, now)))
	if plan.Load.SpreadHosts > 0 {
		// One more, so that a host may fail or leave.
		need = max(need, plan.Load.SpreadHosts+1, hosts(plan.Load.LongRunning)+1)
	}
	return need
}

func ratio(wanted, size int64) float64 {
	if size == 0 {
		return 0
	}
	return float64(wanted) / float64(size)
}

// serving counts the machines that serve the pool now or soon.
func (plan *poolPlan) serving() int {
	n := plan.coming
	for _, c := range plan.machines {
		if c.State == machine.Down || (c.ordered && c.State == machine.Up) || (c.cordoned && !plan.Spare) {
			continue
		}
		n++
	}
	return n
}

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
	if surplus <= 0 {
		delete(p.surplusSince, plan.Name)
	} else if _, ok := p.surplusSince[plan.Name]; !ok {
		p.surplusSince[plan.Name] = view.Now
	}
	since, ok := p.surplusSince[plan.Name]
	patient := ok && view.Now.Sub(since) < p.options.ShrinkAfter && len(short) == 0
	for _, c := range plan.machines {
		if c.State != machine.Up || c.ordered || taken[c.Name] {
			continue
		}
		if c.cordoned && c.vacant && c.due == nil {
			to, reason := destination(plans, short)
			if to != nil {
				taken[c.Name] = true
				to.coming++
				actions = append(actions, Action{Kind: Move, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, To: to.Name, Reason: reason})
			}
			continue
		}
		if c.cordoned || surplus <= 0 || patient || c.longRunning > 0 && surplus < 2 {
			continue
		}
		surplus--
		taken[c.Name] = true
		actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: plan.Name, Reason: "surplus"})
	}
	return actions
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

// waves takes due machines down, those first that nothing is lost by.
func (p *Planner) waves(view View, plans []*poolPlan) []Action {
	var actions []Action
	for n := range view.Waves {
		w := &view.Waves[n]
		room := w.MaxDown - view.down(w)
		var due []*candidate
		draining := 0
		for _, plan := range plans {
			for _, c := range plan.machines {
				if c.due != w || c.State != machine.Up || c.ordered {
					continue
				}
				if c.cordoned && !c.vacant {
					draining++
				}
				due = append(due, c)
			}
		}
		slices.SortFunc(due, compareDue)
		actions = append(actions, p.waveActions(view, w, due, room, draining, surplusOf(plans))...)
	}
	return actions
}

func compareDue(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolRank(!a.vacant), boolRank(!b.vacant)),
		cmp.Compare(boolRank(!a.cordoned), boolRank(!b.cordoned)),
		cmp.Compare(a.longRunning, b.longRunning),
		cmp.Compare(a.runs, b.runs),
		cmp.Compare(a.Name, b.Name),
	)
}

// surplusOf is how many hosts each pool can do without for now.
func surplusOf(plans []*poolPlan) map[string]int {
	surplus := map[string]int{}
	for _, plan := range plans {
		surplus[plan.Name] = plan.serving() - plan.need
	}
	return surplus
}

// late tells whether a wave can't wait for its pools' troughs any more.
func (p *Planner) late(w *Wave, now time.Time) bool {
	return now.After(w.SeenAt.Add(time.Duration(p.options.WaveShare * float64(w.Duration))))
}

func (p *Planner) waveActions(view View, w *Wave, due []*candidate, room, draining int, spare map[string]int) []Action {
	var actions []Action
	late := p.late(w, view.Now)
	for _, c := range due {
		if room <= 0 {
			return actions
		}
		switch {
		case c.vacant, late && c.cordoned && c.longRunning == 0:
			actions = append(actions, Action{Kind: Maintain, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
			room--
		case !c.cordoned && draining < room && (late || spare[c.Pool] > 0):
			spare[c.Pool]--
			actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
			draining++
		}
	}
	return actions
}

// down counts the machines that are down for a wave, or may be.
func (v *View) down(w *Wave) int {
	n := 0
	for i := range v.Machines {
		m := &v.Machines[i]
		o, ordered := v.Ordered[m.Name]
		if (ordered && o.Action.Kind == Maintain && o.Action.Wave == w.Number) || (w.Begun[m.Name] && m.State == machine.Maintenance) {
			n++
		}
	}
	return n
}
