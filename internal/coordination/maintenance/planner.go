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
	// hostTime is the expected time of one host's maintenance.
	hostTime = 20 * time.Minute
	// stuckAfter is how long a reboot may take before it is reported.
	stuckAfter = time.Hour
	// correlationTime is how close failures must be to count as correlated.
	correlationTime = time.Hour
	// rackFailures and totalFailures in that time stop a wave.
	rackFailures  = 2
	totalFailures = 3
	// maxProposals bounds one plan.
	maxProposals = 16
	// leadMargin is how much earlier than needed a wave begins.
	leadMargin = 3
)

// member is one host of a pool as the planner sees it.
type member struct {
	state.Host
	declared fleet.Host
	local    bool
	lent     bool
	due      bool
	age      time.Duration
}

// poolView is one pool as the planner sees it.
type poolView struct {
	name    string
	budget  fleet.Budget
	spare   bool
	after   state.Availability
	members []member
	// out counts hosts that are not in service, in all data centres.
	out int
	// due counts hosts in service that are due, in all data centres.
	due    int
	oldest time.Duration
	lent   int
	// arriving counts lent hosts on their way to this pool.
	arriving int
}

// planner makes one plan.
type planner struct {
	s        *state.State
	dc       string
	demand   Demand
	now      time.Time
	interval time.Duration
	pools    map[string]*poolView
	order    []*poolView
	lanes    int
	lentNow  int
	plan     Plan
}

// PlanFor proposes the next steps for a data centre. It is a pure function;
// the fold refuses whatever a race or an old state got wrong.
func PlanFor(s *state.State, dataCentre string, demand Demand, now time.Time) Plan {
	p := &planner{
		s: s, dc: dataCentre, demand: demand, now: now, interval: s.Document.Maintenance.Interval.Std(),
		plan: Plan{DataCentre: dataCentre, Proposals: []Proposal{}, Waits: []Wait{}},
	}
	if reason := p.idle(); reason != "" {
		p.plan.wait("", "", reason)
		return p.plan
	}
	if !p.waveUnderWay() {
		p.plan.wait("", "", "no host is near the end of its interval")
		return p.plan
	}
	p.look()
	if p.stopped() {
		return p.plan
	}
	p.sort()
	p.drains()
	p.lending()
	if len(p.plan.Proposals) > maxProposals {
		p.plan.Proposals = p.plan.Proposals[:maxProposals]
	}
	return p.plan
}

// idle says why nothing is planned at all.
func (p *planner) idle() string {
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

// look builds the view of all pools in one pass over the hosts.
func (p *planner) look() {
	p.pools = make(map[string]*poolView, len(p.s.Document.Pools))
	availabilities := p.s.Availabilities()
	for name, declared := range p.s.Document.Pools {
		p.pools[name] = &poolView{name: name, budget: declared.Budget, spare: declared.Spare, after: availabilities[name]}
	}
	for _, h := range p.s.Hosts {
		p.place(h)
	}
	p.lanes = p.laneCount()
}

func (p *planner) place(h state.Host) {
	declared := p.s.Document.Hosts[h.Name]
	m := member{Host: h, declared: declared, local: declared.DataCentre == p.dc, age: p.now.Sub(h.Maintained)}
	m.lent = lent(h)
	m.due = h.Phase == state.InService && m.age >= p.interval/2
	if m.lent {
		p.lentNow++
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
	view.members = append(view.members, m)
	view.oldest = max(view.oldest, m.age)
	if m.lent {
		view.lent++
	}
	if m.due {
		view.due++
	}
	if h.Phase != state.InService {
		view.out++
	}
}

// lent tells whether a host is away from its home, or on its way.
func lent(h state.Host) bool {
	return h.Then == state.Lend || h.Pool != "" && h.Home != h.Pool
}

func (p *planner) countLocal(m member) {
	if m.due {
		p.plan.Due++
	}
	if m.age > p.interval {
		p.plan.Overdue++
		p.plan.wait(m.Pool, m.Name, fmt.Sprintf("overdue: last maintained %s ago, %s", m.age.Round(time.Hour), m.Phase))
	}
	if m.Phase == state.Rebooting && p.now.Sub(m.SinceTime) > stuckAfter {
		p.plan.wait(m.Pool, m.Name, "has been rebooting for over an hour and is not waited for; look at it, then return it")
	}
}

// lead is how long before the interval ends a wave must begin.
func (p *planner) lead() time.Duration {
	return min(max(leadMargin*hostTime*time.Duration(len(p.s.Hosts))/2, p.interval/14), p.interval/3)
}

// waveUnderWay tells whether hosts are to be maintained now: one is near the
// end of its interval, or a wave has begun and is not over.
func (p *planner) waveUnderWay() bool {
	start := p.interval - p.lead()
	oldest := time.Duration(0)
	for _, h := range p.s.Hosts {
		if h.Then == state.Reboot || lent(h) {
			return true
		}
		oldest = max(oldest, p.now.Sub(h.Maintained))
	}
	if oldest < start {
		p.plan.NextWave = p.now.Add(start - oldest)
	}
	return oldest >= start
}

// laneCount is how many lent hosts are used at once: few where buffer and
// moves weigh more, many where the roll-out and kept work do.
func (p *planner) laneCount() int {
	m := p.s.Document.Maintenance
	fast, thin := m.RolloutWeight+m.KeptWeight, m.BufferWeight+m.MovesWeight
	const usual = 2
	if fast <= thin || thin == 0 && fast == 0 {
		return usual * len(p.s.DataCentres)
	}
	return len(p.s.Hosts)
}

// stopped halts the wave after correlated failures.
func (p *planner) stopped() bool {
	racks, total := map[string]int{}, 0
	for _, view := range p.pools {
		for _, m := range view.members {
			if m.local && m.Phase == state.Failed && p.now.Sub(m.SinceTime) < correlationTime {
				racks[m.declared.Rack]++
				total++
			}
		}
	}
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		if racks[rack] >= rackFailures {
			p.plan.propose(HaltWave, "", "", fmt.Sprintf("%d hosts of rack %s failed within an hour", racks[rack], rack))
			return true
		}
	}
	if total >= totalFailures {
		p.plan.propose(HaltWave, "", "", fmt.Sprintf("%d hosts failed within an hour", total))
		return true
	}
	return false
}

// sort puts pools that are begun first, then those in a trough, then the most overdue.
func (p *planner) sort() {
	for _, view := range p.pools {
		p.order = append(p.order, view)
	}
	slices.SortFunc(p.order, func(a, b *poolView) int {
		return cmp.Or(
			-cmp.Compare(a.begun(), b.begun()),
			cmp.Compare(p.pressure(a), p.pressure(b)),
			-cmp.Compare(a.oldest, b.oldest),
			cmp.Compare(a.name, b.name),
		)
	})
}

func (v *poolView) begun() int {
	return min(v.lent+v.out, 1)
}

// pressure is the demand in tenths of what the pool has in service.
func (p *planner) pressure(v *poolView) int {
	return int(10 * p.demand[v.name] / float64(max(v.after.Slots, 1)))
}
