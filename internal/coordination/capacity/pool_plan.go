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

// poolPlan is a pool with its machines and the number of machines that it needs.
type poolPlan struct {
	Pool
	// machines are those in the pool, including moving ones, in the order in which they
	// are released.
	machines []*candidate
	need     int
	// incoming counts the machines that are ordered to the pool and not listed in it yet.
	incoming int
}

// candidate is a machine with the pool's use of it, as input for decisions.
type candidate struct {
	*machine.Machine
	runs, longRunning int
	use               schedule.Use
	cordoned, vacant  bool
	// loss is the work that ending the machine's runs would lose, in core-milliseconds.
	loss int64
	// due is the wave in which the machine is still to be maintained, if any.
	due *Wave
	// blocked is set while no new order may be sent for the machine, leaving while an order
	// of this owner is moving or maintaining it.
	blocked, leaving bool
	// known is set if the pool's load lists the machine's worker, isNew if the machine has a
	// worker that the load does not list.
	known, isNew bool
}

// planPools assigns the machines to their pools and computes each pool's need.
func (p *Planner) planPools(view View) []*poolPlan {
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
				plans[i].incoming++
			}
		}
	}
	for _, plan := range plans {
		plan.need = p.need(plan, view.Now)
		slices.SortFunc(plan.machines, compareReleaseOrder)
	}
	shareMachines(plans)
	return plans
}

// shareMachines bounds the needs by the number of machines: a pool that needs no more than
// an even share gets what it needs, and the others share the rest evenly.
func shareMachines(plans []*poolPlan) {
	remaining := 0
	var withLoad []*poolPlan
	for _, plan := range plans {
		for _, c := range plan.machines {
			if c.State != machine.Down {
				remaining++
			}
		}
		if plan.Load != nil {
			withLoad = append(withLoad, plan)
		} else if !plan.Spare {
			// The pool's owner does not answer, so the pool keeps its machines.
			remaining -= len(plan.machines)
		}
	}
	slices.SortFunc(withLoad, func(a, b *poolPlan) int { return cmp.Or(cmp.Compare(a.need, b.need), cmp.Compare(a.Name, b.Name)) })
	for n, plan := range withLoad {
		plan.need = min(plan.need, max(0, remaining)/(len(withLoad)-n))
		remaining -= plan.need
	}
}

// candidate collects what the view knows of a machine in a pool.
func (v *View) candidate(m *machine.Machine, pool *Pool) *candidate {
	c := &candidate{Machine: m}
	var o Order
	o, c.blocked = v.Ordered[m.Name]
	c.leaving = c.blocked && o.Action.Kind != OrderedByFormerOwner
	for n := range v.Waves {
		w := &v.Waves[n]
		if slices.Contains(w.Machines, m.Name) && !w.Started[m.Name] {
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
		// Nothing runs there, but the pool may start tasks as soon as it knows the worker.
		c.isNew = m.Worker != ""
		c.vacant = !c.isNew
	}
	return c
}

// compareReleaseOrder orders a pool's machines by how little their release would disrupt:
// cordoned ones first, then by number of long-running tasks, then those that are due for
// maintenance anyway, then by runs and lost work.
func compareReleaseOrder(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolToInt(!a.cordoned), boolToInt(!b.cordoned)),
		cmp.Compare(a.longRunning, b.longRunning),
		cmp.Compare(boolToInt(a.due == nil), boolToInt(b.due == nil)),
		cmp.Compare(a.runs, b.runs),
		cmp.Compare(a.loss, b.loss),
		cmp.Compare(a.Name, b.Name),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// need returns the number of hosts that a pool's demand requires.
func (p *Planner) need(plan *poolPlan, now time.Time) int {
	if plan.Spare || plan.Load == nil || len(plan.machines) == 0 {
		return 0
	}
	var total worker.Resources
	for _, c := range plan.machines {
		total = total.Plus(c.Capacity)
	}
	n := int64(len(plan.machines))
	hostsFor := func(demand worker.Resources) int {
		return int(math.Ceil(p.options.HeadroomFactor * max(ratio(demand.CPU, total.CPU/n), ratio(demand.MemoryMB, total.MemoryMB/n))))
	}
	need := max(p.options.MinHosts, hostsFor(p.forecast(plan.Name, plan.Load.Demand, now)))
	// No host is kept in reserve for failures, since failed hosts are replaced when they fail.
	// One more is needed when long-running tasks must move away from hosts that are due for
	// maintenance.
	longRunningHosts := max(plan.Load.SpreadHosts, hostsFor(plan.Load.LongRunning))
	if plan.hasDueLongRunning() {
		longRunningHosts++
	}
	return max(need, longRunningHosts)
}

// hasDueLongRunning reports whether long-running tasks have yet to leave hosts that are due
// for maintenance.
func (plan *poolPlan) hasDueLongRunning() bool {
	return slices.ContainsFunc(plan.machines, func(c *candidate) bool { return c.due != nil && c.longRunning > 0 })
}

// ratio returns demand divided by size, or 0 if size is 0.
func ratio(demand, size int64) float64 {
	if size == 0 {
		return 0
	}
	return float64(demand) / float64(size)
}

// serving counts the machines that serve the pool now or will do so soon.
func (plan *poolPlan) serving() int {
	n := plan.incoming
	for _, c := range plan.machines {
		if c.State == machine.Down || (c.leaving && c.State == machine.Up) || (c.cordoned && !plan.Spare) {
			continue
		}
		n++
	}
	return n
}
