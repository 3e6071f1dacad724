package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// waves takes due machines down, those first that nothing is lost by.
func (p *Planner) waves(view View, plans []*poolPlan) []Action {
	var actions []Action
	for n := range view.Waves {
		w := &view.Waves[n]
		room := w.MaxDown - p.down(&view, w)
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
		actions = retire(actions, due, w)
	}
	return actions
}

// retire moves long-running tasks away from what is due long before its turn, since
// they may leave only one after the other. What goes now needs no such order.
func retire(actions []Action, due []*candidate, w *Wave) []Action {
	for _, c := range due {
		now := slices.ContainsFunc(actions, func(a Action) bool { return a.Machine == c.Name })
		if c.known && c.use == schedule.UseAll && !now {
			actions = append(actions, Action{Kind: Retire, Machine: c.Name, Worker: c.Worker, Pool: c.Pool, Wave: w.Number, Reason: "wave"})
		}
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

// down counts the machines that are down for a wave, or may be: those that an earlier
// owner ordered last too, until its orders must have arrived and the list shows them.
func (p *Planner) down(v *View, w *Wave) int {
	n := 0
	for i := range v.Machines {
		m := &v.Machines[i]
		if !slices.Contains(w.Machines, m.Name) {
			continue
		}
		o, ordered := v.Ordered[m.Name]
		maintained := ordered && o.Action.Kind == Maintain && o.Action.Wave == w.Number
		barred := ordered && o.Action.Kind == Barred && v.ListedAt.Sub(o.SentAt) < p.options.HandOver
		if maintained || barred || m.State == machine.Maintenance {
			n++
		}
	}
	return n
}
