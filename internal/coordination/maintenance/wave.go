package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/state"
)

// proposeDrains proposes to drain the due hosts that the budgets of their pools allow.
func (p *planner) proposeDrains() {
	for _, view := range p.sorted {
		if view.due == 0 || !p.demandPermits(view) {
			continue
		}
		for _, m := range p.candidates(view) {
			after := view.availability.Without(m.declared)
			if breach := after.Breach(view.budget); breach != "" {
				p.plan.addWait(view.name, m.Name, "the budget would break: "+breach)
				break
			}
			view.availability = after
			view.notInService++
			p.plan.propose(DrainForReboot, m.Name, "", fmt.Sprintf("maintained %s ago", m.age.Round(time.Hour)))
		}
	}
}

// demandPermits reports whether a pool's demand allows maintenance now. Demand above the
// pool's slots delays maintenance until less than half the lead time is left before an
// interval ends; a wait with the reason is then added to the plan.
func (p *planner) demandPermits(view *poolView) bool {
	urgent := view.maxAge > p.interval-p.leadTime()/2
	if urgent || p.demand[view.name] <= float64(view.availability.Slots) {
		return true
	}
	p.plan.addWait(view.name, "", "demand exceeds the slots in service; waiting until demand falls")
	return false
}

// candidates returns a pool's due hosts of this data centre in the order of draining: first
// those in the racks with the most unavailable hosts, then the most overdue.
func (p *planner) candidates(view *poolView) []poolHost {
	due := []poolHost{}
	for _, m := range view.hosts {
		if m.local && m.due && !m.lent {
			due = append(due, m)
		}
	}
	unavailableInRack := func(m poolHost) int {
		return view.availability.UnavailableRacks[state.RackOf(m.declared)]
	}
	slices.SortFunc(due, func(a, b poolHost) int {
		return cmp.Or(
			-cmp.Compare(unavailableInRack(a), unavailableInRack(b)),
			-cmp.Compare(a.age, b.age),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return due
}

// proposeLending proposes to lend hosts to pools whose budget lets none of their own drain,
// and to move lent hosts home or to the next such pool when a pool is done.
func (p *planner) proposeLending() {
	borrowers := p.borrowers()
	for _, view := range p.sorted {
		for _, m := range view.hosts {
			if !m.local || !m.lent || m.Phase != state.InService || view.due > 0 || view.notInService > 0 {
				continue
			}
			borrowers = p.forwardLent(view, m, borrowers)
		}
	}
	for _, view := range p.sorted {
		if !view.spare {
			continue
		}
		for _, m := range p.lendable(view) {
			if len(borrowers) == 0 || p.lentCount >= p.maxLent {
				return
			}
			after := view.availability.Without(m.declared)
			if after.Breach(view.budget) != "" {
				break
			}
			view.availability = after
			p.plan.propose(LendHost, m.Name, borrowers[0].name, "its budget leaves no host to spare")
			borrowers = borrowers[1:]
			p.lentCount++
		}
	}
}

// borrowers lists the pools that have due hosts, can't drain any of them within their
// budget, and have no host lent to them or out of service yet.
func (p *planner) borrowers() []*poolView {
	found := []*poolView{}
	for _, view := range p.sorted {
		supplied := view.notInService > 0 || view.lent > 0 || view.arriving > 0
		if !view.spare && !supplied && view.blockedByBudget() && p.demandPermits(view) {
			found = append(found, view)
		}
	}
	return found
}

// blockedByBudget reports whether the pool has due hosts and its budget allows none of
// them, in any data centre, to be drained.
func (v *poolView) blockedByBudget() bool {
	if v.due == 0 {
		return false
	}
	for _, m := range v.hosts {
		if m.due && v.availability.Without(m.declared).Breach(v.budget) == "" {
			return false
		}
	}
	return true
}

// forwardLent proposes to move a lent host straight to the next borrower, or home if there
// is none, and returns the borrowers that are left.
func (p *planner) forwardLent(from *poolView, m poolHost, borrowers []*poolView) []*poolView {
	after := from.availability.Without(m.declared)
	if breach := after.Breach(from.budget); breach != "" {
		p.plan.addWait(from.name, m.Name, "the lent host can't leave yet: "+breach)
		return borrowers
	}
	from.availability = after
	if len(borrowers) > 0 && borrowers[0].name != m.Home {
		p.plan.propose(LendHost, m.Name, borrowers[0].name, "pool "+from.name+" is done")
		return borrowers[1:]
	}
	p.plan.propose(ReturnLent, m.Name, m.Home, "pool "+from.name+" is done")
	return borrowers
}

// lendable lists the spare pool's hosts of this data centre, the most recently maintained
// first, since these do not become due while they are lent.
func (p *planner) lendable(view *poolView) []poolHost {
	found := []poolHost{}
	for _, m := range view.hosts {
		if m.local && !m.lent && m.Phase == state.InService {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b poolHost) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.Name, b.Name))
	})
	return found
}
