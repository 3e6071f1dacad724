package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// drains proposes the hosts that can go now inside their budgets.
func (p *planner) drains() {
	for _, view := range p.order {
		if view.due == 0 || !p.goodTime(view) {
			continue
		}
		for _, m := range p.candidates(view) {
			after := view.after.Without(m.declared)
			if breach := after.Breach(view.budget); breach != "" {
				p.plan.wait(view.name, m.Name, "the budget would break: "+breach)
				break
			}
			view.after = after
			view.out++
			p.plan.propose(DrainForReboot, m.Name, "", fmt.Sprintf("maintained %s ago", m.age.Round(time.Hour)))
		}
	}
}

// goodTime avoids a pool's peak as long as there is time to wait for its trough.
func (p *planner) goodTime(view *poolView) bool {
	pressing := view.oldest > p.interval-p.lead()/2
	if pressing || p.demand[view.name] <= float64(view.after.Slots) {
		return true
	}
	p.plan.wait(view.name, "", "the pool is asked for more than it has; its trough is waited for")
	return false
}

// candidates orders a pool's due hosts of this data centre: those in racks
// that are touched already, then the most overdue.
func (p *planner) candidates(view *poolView) []member {
	due := []member{}
	for _, m := range view.members {
		if m.local && m.due && !m.lent {
			due = append(due, m)
		}
	}
	touched := func(m member) int {
		return view.after.UnavailableRacks[state.RackOf(m.declared)]
	}
	slices.SortFunc(due, func(a, b member) int {
		return cmp.Or(
			-cmp.Compare(touched(a), touched(b)),
			-cmp.Compare(a.age, b.age),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return due
}

// lending brings a host to pools that can't spare one of their own, and takes
// lent hosts home or onwards when a pool is done.
func (p *planner) lending() {
	wanting := p.wanting()
	for _, view := range p.order {
		for _, m := range view.members {
			if !m.local || !m.lent || m.Phase != state.InService || view.due > 0 || view.out > 0 {
				continue
			}
			wanting = p.sendOn(view, m, wanting)
		}
	}
	for _, view := range p.order {
		if !view.spare {
			continue
		}
		for _, m := range p.lendable(view) {
			if len(wanting) == 0 || p.lentNow >= p.lanes {
				return
			}
			after := view.after.Without(m.declared)
			if after.Breach(view.budget) != "" {
				break
			}
			view.after = after
			p.plan.propose(LendHost, m.Name, wanting[0].name, "its budget leaves no host to spare")
			wanting = wanting[1:]
			p.lentNow++
		}
	}
}

// wanting lists the pools that have due hosts and can't let any go.
func (p *planner) wanting() []*poolView {
	found := []*poolView{}
	for _, view := range p.order {
		helped := view.out > 0 || view.lent > 0 || view.arriving > 0
		if !view.spare && !helped && view.stuck() && p.goodTime(view) {
			found = append(found, view)
		}
	}
	return found
}

// stuck tells whether the budget keeps every due host of the pool, in any data
// centre, from leaving.
func (v *poolView) stuck() bool {
	if v.due == 0 {
		return false
	}
	for _, m := range v.members {
		if m.due && v.after.Without(m.declared).Breach(v.budget) == "" {
			return false
		}
	}
	return true
}

// sendOn takes a lent host straight to the next pool that wants one, or home.
func (p *planner) sendOn(from *poolView, m member, wanting []*poolView) []*poolView {
	after := from.after.Without(m.declared)
	if breach := after.Breach(from.budget); breach != "" {
		p.plan.wait(from.name, m.Name, "the lent host can't leave yet: "+breach)
		return wanting
	}
	from.after = after
	if len(wanting) > 0 && wanting[0].name != m.Home {
		p.plan.propose(LendHost, m.Name, wanting[0].name, "pool "+from.name+" is done")
		return wanting[1:]
	}
	p.plan.propose(GiveBack, m.Name, m.Home, "pool "+from.name+" is done")
	return wanting
}

// lendable lists the spare pool's hosts of this data centre, the most lately
// maintained first: they will not be due while they are away.
func (p *planner) lendable(view *poolView) []member {
	found := []member{}
	for _, m := range view.members {
		if m.local && !m.lent && m.Phase == state.InService {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.Name, b.Name))
	})
	return found
}
