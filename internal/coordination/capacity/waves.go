package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// planWaves returns the actions of all waves: due machines are maintained, cordoned or
// retired, those first whose maintenance disrupts least.
func (p *Planner) planWaves(view View, plans []*poolPlan) []Action {
	var actions []Action
	for n := range view.Waves {
		w := &view.Waves[n]
		remaining := w.MaxDown - p.machinesDown(&view, w)
		var due []*candidate
		draining := 0
		for _, plan := range plans {
			for _, c := range plan.machines {
				if c.due != w || c.State != machine.Up || c.blocked {
					continue
				}
				if c.cordoned && !c.vacant {
					draining++
				}
				due = append(due, c)
			}
		}
		slices.SortFunc(due, compareDue)
		actions = append(actions, p.waveActions(view, w, due, remaining, draining, surplusOf(plans))...)
		actions = retire(actions, due, w)
	}
	return actions
}

// retire appends actions that move long-running tasks away from due machines. It does so
// long before the machines' turn, since the tasks may move only one after the other.
// Machines that have an action already are left out.
func retire(actions []Action, due []*candidate, w *Wave) []Action {
	for _, c := range due {
		planned := slices.ContainsFunc(actions, func(a Action) bool { return a.Machine == c.Name })
		if c.known && c.use == schedule.UseAll && !planned {
			actions = append(actions, Action{Kind: Retire, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
		}
	}
	return actions
}

// compareDue orders due machines by how little their maintenance disrupts.
func compareDue(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(boolToInt(!a.vacant && !a.isNew), boolToInt(!b.vacant && !b.isNew)),
		cmp.Compare(boolToInt(!a.cordoned), boolToInt(!b.cordoned)),
		cmp.Compare(a.longRunning, b.longRunning),
		cmp.Compare(a.runs, b.runs),
		cmp.Compare(a.Name, b.Name),
	)
}

// surplusOf returns how many hosts each pool has beyond its need.
func surplusOf(plans []*poolPlan) map[string]int {
	surplus := map[string]int{}
	for _, plan := range plans {
		surplus[plan.Name] = plan.serving() - plan.need
	}
	return surplus
}

// late reports whether the off-peak part of a wave's duration, in which it waits for its
// pools to have a surplus, is over.
func (p *Planner) late(w *Wave, now time.Time) bool {
	return now.After(w.SeenAt.Add(time.Duration(p.options.OffPeakShare * float64(w.Duration))))
}

// waveActions returns the actions to maintain or cordon a wave's due machines. remaining is
// how many more may be taken down. Until the wave is late, machines in use are cordoned only
// if their pool has a surplus.
func (p *Planner) waveActions(view View, w *Wave, due []*candidate, remaining, draining int, surplus map[string]int) []Action {
	var actions []Action
	late := p.late(w, view.Now)
	for _, c := range due {
		if remaining <= 0 {
			return actions
		}
		switch {
		case c.vacant, late && c.cordoned && c.longRunning == 0:
			actions = append(actions, Action{Kind: Maintain, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
			remaining--
		case c.isNew:
			// It is maintained as soon as the pool has confirmed the cordon.
			actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
			remaining--
		case !c.cordoned && draining < remaining && (late || surplus[c.Pool] > 0):
			surplus[c.Pool]--
			actions = append(actions, Action{Kind: Cordon, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
			draining++
		}
	}
	return actions
}

// machinesDown counts the machines of a wave that are or may be down. Machines last ordered
// by a former owner count until a list of machines shows their state that was requested at
// least FormerOwnerOrderTime after the change of owner, when those orders must have arrived.
func (p *Planner) machinesDown(v *View, w *Wave) int {
	n := 0
	for i := range v.Machines {
		m := &v.Machines[i]
		if !slices.Contains(w.Machines, m.Name) {
			continue
		}
		o, ordered := v.Ordered[m.Name]
		maintained := ordered && o.Action.Kind == Maintain && o.Action.Wave == w.Number
		formerOrder := ordered && o.Action.Kind == OrderedByFormerOwner && v.ListedAt.Sub(o.SentAt) < p.options.FormerOwnerOrderTime
		if maintained || formerOrder || m.State == machine.Maintenance {
			n++
		}
	}
	return n
}
