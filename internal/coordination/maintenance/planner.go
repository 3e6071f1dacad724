package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	// hostMaintenanceTime is the expected duration of one host's maintenance.
	hostMaintenanceTime = 20 * time.Minute
	// rebootWarningAfter is how long a reboot may take before the plan reports it.
	rebootWarningAfter = time.Hour
	// correlationWindow is the time within which failures count as correlated.
	correlationWindow = time.Hour
	// haltRackFailures in one rack or haltTotalFailures in the data centre within
	// correlationWindow halt the wave.
	haltRackFailures  = 2
	haltTotalFailures = 3
	// maxProposals bounds the number of proposals in one plan.
	maxProposals = 16
	// leadFactor is the multiple of its expected duration by which a wave begins before the
	// first host's interval ends.
	leadFactor = 3
)

// poolHost is a host of a pool with the values that the planner derives for it.
type poolHost struct {
	state.Host
	declared fleet.Host
	local    bool
	lent     bool
	// due is set on a host in service once half the interval has passed since its last
	// maintenance.
	due bool
	// age is the time since the last maintenance.
	age time.Duration
}

// poolView is a pool with the values that the planner derives for it.
type poolView struct {
	name   string
	budget fleet.Budget
	spare  bool
	// availability is the pool's availability after the drains planned so far.
	availability state.Availability
	hosts        []poolHost
	// notInService counts hosts that are not in service, in all data centres.
	notInService int
	// due counts hosts in service that are due, in all data centres.
	due int
	// maxAge is the longest time since the last maintenance of a host.
	maxAge time.Duration
	lent   int
	// arriving counts lent hosts that are being moved to this pool.
	arriving int
}

// planner computes one plan.
type planner struct {
	s        *state.State
	dc       string
	demand   Demand
	now      time.Time
	interval time.Duration
	pools    map[string]*poolView
	sorted   []*poolView
	// maxLent bounds lentCount, the number of hosts that are lent at the same time.
	maxLent   int
	lentCount int
	plan      Plan
}

// PlanFor proposes the next steps for a data centre. It is a pure function of its
// arguments; the fold refuses proposals that no longer hold because of a race or an old state.
func PlanFor(s *state.State, dataCentre string, demand Demand, now time.Time) Plan {
	p := &planner{
		s: s, dc: dataCentre, demand: demand, now: now, interval: s.Document.Maintenance.Interval.Std(),
		plan: Plan{DataCentre: dataCentre, Proposals: []Proposal{}, Waits: []Wait{}},
	}
	if reason := p.idleReason(); reason != "" {
		p.plan.addWait("", "", reason)
		return p.plan
	}
	if !p.waveUnderWay() {
		p.plan.addWait("", "", "no host is near the end of its interval")
		return p.plan
	}
	p.buildPoolViews()
	if p.haltOnFailures() {
		return p.plan
	}
	p.sortPools()
	p.proposeDrains()
	p.proposeLending()
	if len(p.plan.Proposals) > maxProposals {
		p.plan.Proposals = p.plan.Proposals[:maxProposals]
	}
	return p.plan
}

// idleReason returns why nothing may be planned for the data centre, or "" if planning may
// go ahead.
func (p *planner) idleReason() string {
	d := p.s.DataCentres[p.dc]
	switch {
	case !p.s.Document.Maintenance.Enabled:
		return "maintenance is not enabled in the configuration"
	case p.s.Restoring:
		return "the configuration is being restored"
	case d.Halted:
		return "maintenance is halted here; resume it with: hornbeammast halt " + p.dc + " --resume"
	case d.Lost:
		return "the data centre counts as lost"
	default:
		return ""
	}
}

// buildPoolViews builds the views of all pools in one pass over the hosts.
func (p *planner) buildPoolViews() {
	p.pools = make(map[string]*poolView, len(p.s.Document.Pools))
	availabilities := p.s.Availabilities()
	for name, declared := range p.s.Document.Pools {
		p.pools[name] = &poolView{name: name, budget: declared.Budget, spare: declared.Spare, availability: availabilities[name]}
	}
	for _, h := range p.s.Hosts {
		p.addHost(h)
	}
	p.maxLent = p.lentLimit()
}

// addHost counts a host in the view of its pool and in the plan.
func (p *planner) addHost(h state.Host) {
	declared := p.s.Document.Hosts[h.Name]
	m := poolHost{Host: h, declared: declared, local: declared.DataCentre == p.dc, age: p.now.Sub(h.MaintainedAt)}
	m.lent = lent(h)
	m.due = h.Phase == state.InService && m.age >= p.interval/2
	if m.lent {
		p.lentCount++
		if to, ok := p.pools[h.ToPool]; ok {
			to.arriving++
		}
	}
	if m.local {
		p.countLocal(m)
	}
	view, ok := p.pools[h.Pool]
	if !ok {
		return
	}
	view.hosts = append(view.hosts, m)
	view.maxAge = max(view.maxAge, m.age)
	if m.lent {
		view.lent++
	}
	if m.due {
		view.due++
	}
	if h.Phase != state.InService {
		view.notInService++
	}
}

// lent reports whether a host is outside its home pool or is being moved to another one.
func lent(h state.Host) bool {
	return h.Purpose == state.Lend || h.Pool != "" && h.Home != h.Pool
}

// countLocal counts a host of the planned data centre if it is due or overdue, and reports
// overdue hosts and slow reboots as waits.
func (p *planner) countLocal(m poolHost) {
	if m.due {
		p.plan.Due++
	}
	if m.age > p.interval {
		p.plan.Overdue++
		p.plan.addWait(m.Pool, m.Name, fmt.Sprintf("overdue: last maintained %s ago, %s", m.age.Round(time.Hour), m.Phase))
	}
	if m.Phase == state.Rebooting && p.now.Sub(m.SinceTime) > rebootWarningAfter {
		p.plan.addWait(m.Pool, m.Name, "has been rebooting for over an hour, and the wave continues without it; check the host, then return it")
	}
}

// leadTime returns how long before the end of the interval a wave must begin: leadFactor
// times half the maintenance time of all hosts, between 1/14 and 1/3 of the interval.
func (p *planner) leadTime() time.Duration {
	return min(max(leadFactor*hostMaintenanceTime*time.Duration(len(p.s.Hosts))/2, p.interval/14), p.interval/3)
}

// waveUnderWay reports whether hosts are to be maintained now: one is near the end of its
// interval, or a wave has begun and has not finished.
func (p *planner) waveUnderWay() bool {
	start := p.interval - p.leadTime()
	maxAge := time.Duration(0)
	for _, h := range p.s.Hosts {
		if h.Purpose == state.Reboot || lent(h) {
			return true
		}
		maxAge = max(maxAge, p.now.Sub(h.MaintainedAt))
	}
	if maxAge < start {
		p.plan.NextWave = p.now.Add(start - maxAge)
	}
	return maxAge >= start
}

// lentLimit returns how many hosts may be lent at the same time: lentPerDataCentre for each
// data centre if a small buffer and few moves weigh at least as much as a fast roll-out
// and kept work, else all.
func (p *planner) lentLimit() int {
	m := p.s.Document.Maintenance
	speedWeight, costWeight := m.RolloutWeight+m.KeptWeight, m.BufferWeight+m.MovesWeight
	const lentPerDataCentre = 2
	if speedWeight <= costWeight || costWeight == 0 && speedWeight == 0 {
		return lentPerDataCentre * len(p.s.DataCentres)
	}
	return len(p.s.Hosts)
}

// haltOnFailures proposes to halt the wave after correlated failures and reports whether it did.
func (p *planner) haltOnFailures() bool {
	racks, total := map[string]int{}, 0
	for _, view := range p.pools {
		for _, m := range view.hosts {
			if m.local && m.Phase == state.Failed && p.now.Sub(m.SinceTime) < correlationWindow {
				racks[m.declared.Rack]++
				total++
			}
		}
	}
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		if racks[rack] >= haltRackFailures {
			p.plan.propose(HaltWave, "", "", fmt.Sprintf("%d hosts of rack %s failed within an hour", racks[rack], rack))
			return true
		}
	}
	if total >= haltTotalFailures {
		p.plan.propose(HaltWave, "", "", fmt.Sprintf("%d hosts failed within an hour", total))
		return true
	}
	return false
}

// sortPools orders the pools: first those with maintenance in progress, then by lowest
// utilisation, then by longest time since a host's maintenance.
func (p *planner) sortPools() {
	for _, view := range p.pools {
		p.sorted = append(p.sorted, view)
	}
	slices.SortFunc(p.sorted, func(a, b *poolView) int {
		return cmp.Or(
			-cmp.Compare(a.inProgress(), b.inProgress()),
			cmp.Compare(p.utilisation(a), p.utilisation(b)),
			-cmp.Compare(a.maxAge, b.maxAge),
			cmp.Compare(a.name, b.name),
		)
	})
}

// inProgress returns 1 if the pool has lent hosts or hosts out of service, else 0.
func (v *poolView) inProgress() int {
	return min(v.lent+v.notInService, 1)
}

// utilisation returns the pool's demand in tenths of its slots in service.
func (p *planner) utilisation(v *poolView) int {
	return int(10 * p.demand[v.name] / float64(max(v.availability.Slots, 1)))
}
