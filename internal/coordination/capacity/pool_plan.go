package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
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
	use               schedule.Use
	cordoned, vacant  bool
	loss              int64
	due               *Wave
	// ordered is set while the machine must not be ordered, leaving if an order of ours
	// takes it away.
	ordered, leaving bool
	// known is set if the pool knows the machine's worker.
	known bool
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
	var o Order
	o, c.ordered = v.Ordered[m.Name]
	c.leaving = c.ordered && o.Action.Kind != Barred
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
	c.runs, c.longRunning, c.use, c.vacant, c.loss = h.Runs, h.LongRunning, h.Use, h.Vacant, h.Loss
	c.cordoned = h.Use == schedule.UseNone
	c.known = ok
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
	// A host that fails is replaced when that happens; those that are due for maintenance
	// need one more, to which their long-running tasks can go.
	lasting := max(plan.Load.SpreadHosts, hosts(plan.Load.LongRunning))
	if plan.dueTasks() {
		lasting++
	}
	return max(need, lasting)
}

// dueTasks tells whether long-running tasks wait to leave hosts that are due for maintenance.
func (plan *poolPlan) dueTasks() bool {
	return slices.ContainsFunc(plan.machines, func(c *candidate) bool { return c.due != nil && c.longRunning > 0 })
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
		if c.State == machine.Down || (c.leaving && c.State == machine.Up) || (c.cordoned && !plan.Spare) {
			continue
		}
		n++
	}
	return n
}
