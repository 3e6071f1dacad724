package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/maintenance"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	// weeks is how long a run lasts: one whole interval, and the lead into it.
	weeks = 7 * 24 * time.Hour * 7
	// planInterval is how often each data centre plans.
	planInterval = 5 * time.Minute
	// drainTime and rebootTime are the means of what a host takes.
	drainTime  = 4 * time.Minute
	rebootTime = 10 * time.Minute
	// confirmTime is how long the entry hosts take to confirm.
	confirmTime = 2 * time.Second
	// repairTime is how long a failed host is away.
	repairTime = 4 * time.Hour
	// turnTime is how long each pool is asked for five times its mean.
	turnTime = time.Hour
	// meanLoad is what a pool is asked for at its mean, as a part of what its
	// budget guarantees; the rest of the time it is asked for a twentieth.
	meanLoad = 0.5
)

// Planner is a policy under test.
type Planner func(s *state.State, dataCentre string, demand maintenance.Demand, now time.Time) maintenance.Plan

// MaintenanceFaults are what goes wrong in a run.
type MaintenanceFaults struct {
	// FailuresPerDay is the mean of single hosts' failures.
	FailuresPerDay float64
	// RackFails takes a rack away in the middle of the first wave.
	RackFails bool
	// CutOff takes a data centre out of contact for ten minutes in the first wave.
	CutOff bool
}

// MaintenanceResult is what a run gave.
type MaintenanceResult struct {
	// BufferHostHours is the capacity held back by the budgets' slack, times its time.
	BufferHostHours float64
	// RolloutHours is the time from a wave's first drain to its last return.
	RolloutHours float64
	// Moves counts hosts' changes of pool, HostsMoved the hosts that changed.
	Moves      int
	HostsMoved int
	// Kept is the part of the asked work of pools that don't flood that could be served, in percent.
	Kept float64
	// BudgetBreaks counts grants that left a pool below its budget.
	BudgetBreaks int
	// OverdueHosts counts hosts that ever passed their interval.
	OverdueHosts int
	// Maintained counts maintenances, Refused the proposals that the fold refused.
	Maintained int
	Refused    int
	Halts      int
}

// maintenanceRun drives the fold and a planner over virtual time.
type maintenanceRun struct {
	clock   *clock
	shape   Fleet
	planner Planner
	faults  MaintenanceFaults
	random  *rand.Rand
	s       *state.State
	n       int
	result  MaintenanceResult
	moved   map[string]bool
	overdue map[string]bool
	// first and last bound the roll-out.
	first, last time.Time
	asked, kept float64
	disturbed   bool
	sampled     time.Time
	trace       io.Writer
	slack       int
}

// RunOption changes a run.
type RunOption func(*maintenanceRun)

// WithTrace writes a line for each accepted record that is about a host.
func WithTrace(w io.Writer) RunOption { return func(r *maintenanceRun) { r.trace = w } }

// RunMaintenance drives a planner over seven weeks.
func RunMaintenance(shape Fleet, planner Planner, faults MaintenanceFaults, seed uint64, opts ...RunOption) MaintenanceResult {
	r := &maintenanceRun{
		clock: newClock(), shape: shape, planner: planner, faults: faults,
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // An experiment.
		s:      state.New(), moved: map[string]bool{}, overdue: map[string]bool{}, trace: io.Discard,
	}
	for _, apply := range opts {
		apply(r)
	}
	r.begin()
	r.every(planInterval, r.plan)
	r.every(time.Hour, r.sample)
	if faults.FailuresPerDay > 0 {
		r.nextFailure()
	}
	r.clock.runUntil(r.clock.now.Add(weeks))
	r.result.RolloutHours = r.last.Sub(r.first).Hours()
	r.result.HostsMoved = len(r.moved)
	r.result.OverdueHosts = len(r.overdue)
	r.result.Kept = 100 * r.kept / max(r.asked, 1)
	return r.result
}

// begin declares the fleet and the entry hosts.
func (r *maintenanceRun) begin() {
	if outcome := r.apply("", r.shape.Declaration()); !outcome.Accepted {
		panic("the shape's document was refused: " + outcome.Message)
	}
	for _, dc := range r.shape.DataCentres {
		members := &wire.Members{EntryHosts: []string{dc + "-1", dc + "-2"}}
		r.apply(dc, &wire.Record{Body: &wire.Record_Members{Members: members}})
	}
	r.sampled = r.clock.now
	r.slack = r.shape.slack()
}

// apply folds a record as the log would, and checks the budget of its grant.
func (r *maintenanceRun) apply(dc string, record *wire.Record) state.Outcome {
	r.n++
	record.Id = fmt.Sprint(r.n)
	record.Rules = state.RulesVersion
	record.DataCentre = dc
	record.WrittenUnixMs = r.clock.now.UnixMilli()
	next, outcome, err := state.Apply(r.s, r.s.Position, record)
	if err != nil {
		panic(err)
	}
	if drain := record.GetDrain(); drain != nil && outcome.Accepted {
		pool := r.s.Hosts[drain.GetHost()].Pool
		if next.Availability(pool).Breach(next.Document.Pools[pool].Budget) != "" {
			r.result.BudgetBreaks++
		}
	}
	r.note(r.s, next)
	r.s = next
	return outcome
}

// note traces the hosts that a record took into another phase or pool.
func (r *maintenanceRun) note(before, after *state.State) {
	if r.trace == io.Discard {
		return
	}
	for _, name := range after.HostNames() {
		h := after.Hosts[name]
		if was, ok := before.Hosts[name]; !ok || was.Since == h.Since {
			continue
		}
		_, _ = fmt.Fprintf(r.trace, "%s %s %s in %q, then %q, to %q\n",
			r.clock.now.Format("01-02 15:04:05"), name, h.Phase, h.Pool, h.Then, h.ToPool)
	}
}

func (r *maintenanceRun) every(d time.Duration, run func(time.Time)) {
	r.clock.after(d, func(now time.Time) {
		run(now)
		r.every(d, run)
	})
}

// turn is the pool that is asked for five times its mean now.
func (r *maintenanceRun) turn(now time.Time) string {
	return r.shape.Serving[int(now.Sub(epoch)/turnTime)%len(r.shape.Serving)]
}

func (r *maintenanceRun) demandAt(now time.Time) maintenance.Demand {
	demand := maintenance.Demand{}
	flooded := r.turn(now)
	for _, pool := range r.shape.Serving {
		mean := meanLoad * float64(r.s.Document.Pools[pool].Budget.MinAvailableHosts*r.shape.Slots)
		demand[pool] = mean
		if pool == flooded {
			demand[pool] = floodFactor * mean
		}
	}
	return demand
}

func (r *maintenanceRun) plan(now time.Time) {
	demand := r.demandAt(now)
	for _, dc := range r.shape.DataCentres {
		plan := r.planner(r.s, dc, demand, now)
		for _, proposal := range plan.Proposals {
			r.propose(dc, proposal)
		}
	}
}

func (r *maintenanceRun) propose(dc string, p maintenance.Proposal) {
	outcome := r.apply(dc, p.Record(r.s, dc))
	switch {
	case !outcome.Accepted:
		r.result.Refused++
	case p.Action == maintenance.HaltWave:
		r.result.Halts++
		r.clock.after(2*time.Hour, func(time.Time) {
			r.apply(dc, &wire.Record{Body: &wire.Record_Halt{Halt: &wire.Halt{DataCentre: dc}}})
		})
	default:
		r.begun(dc, p.Host)
	}
}

// begun follows a granted drain until the host is empty.
func (r *maintenanceRun) begun(dc, host string) {
	if r.s.Hosts[host].Then == state.Reboot {
		if r.first.IsZero() {
			r.first = r.clock.now
		}
		r.disturb()
	}
	empties := time.Duration((0.5 + r.random.Float64()) * float64(drainTime))
	r.clock.after(empties+confirmTime, func(time.Time) {
		r.confirm(dc)
		if h := r.s.Hosts[host]; h.Phase == state.Drained {
			r.drained(dc, h)
		}
	})
}

// confirm lets all entry hosts of a data centre report that they are up to date.
func (r *maintenanceRun) confirm(dc string) {
	entries := []*wire.Position{}
	for _, name := range r.s.DataCentres[dc].Members {
		entries = append(entries, &wire.Position{EntryHost: name, Offset: r.s.Position, Busy: r.busy(dc)})
	}
	r.apply(dc, &wire.Record{Body: &wire.Record_Positions{Positions: &wire.Positions{Entries: entries}}})
}

// busy lists draining hosts that are not expected to be empty yet.
func (r *maintenanceRun) busy(dc string) []string {
	busy := []string{}
	for _, name := range r.s.Awaiting(dc) {
		h := r.s.Hosts[name]
		if h.Phase == state.Draining && r.clock.now.Sub(h.SinceTime) < drainTime/2 {
			busy = append(busy, name)
		}
	}
	return busy
}

func (r *maintenanceRun) drained(dc string, h state.Host) {
	action := &wire.HostAction{Host: h.Name, Since: h.Since}
	if h.Then == state.Lend {
		r.apply(dc, &wire.Record{Body: &wire.Record_Release{Release: &wire.Release{Host: h.Name, ToPool: h.ToPool}}})
		r.clock.after(confirmTime, func(time.Time) {
			r.confirm(dc)
			if r.apply(dc, &wire.Record{Body: &wire.Record_Attach{Attach: &wire.HostAction{Host: h.Name}}}).Accepted {
				r.result.Moves++
				r.moved[h.Name] = true
			}
		})
		return
	}
	r.apply(dc, &wire.Record{Body: &wire.Record_Reboot{Reboot: action}})
	since := r.s.Hosts[h.Name].Since
	r.clock.after(rebootTime, func(now time.Time) {
		back := &wire.HostAction{Host: h.Name, Since: since}
		if r.apply(dc, &wire.Record{Body: &wire.Record_ReturnHost{ReturnHost: back}}).Accepted {
			r.result.Maintained++
			r.last = now
		}
	})
}

// disturb brings the faults of the first wave about, once it is under way.
func (r *maintenanceRun) disturb() {
	if r.disturbed {
		return
	}
	r.disturbed = true
	dc := r.shape.DataCentres[0]
	if r.faults.RackFails {
		r.clock.after(30*time.Minute, func(time.Time) { r.failRack(dc) })
	}
	if r.faults.CutOff {
		other := r.shape.DataCentres[1]
		contact := func(lost bool) func(time.Time) {
			return func(time.Time) {
				r.apply(other, &wire.Record{Body: &wire.Record_Contact{Contact: &wire.Contact{DataCentre: dc, Lost: lost}}})
			}
		}
		r.clock.after(time.Hour, contact(true))
		r.clock.after(70*time.Minute, contact(false))
	}
}

func (r *maintenanceRun) failRack(dc string) {
	rack := ""
	for _, name := range r.s.HostNames() {
		declared := r.s.Document.Hosts[name]
		if declared.DataCentre != dc || rack != "" && declared.Rack != rack {
			continue
		}
		rack = declared.Rack
		r.fail(dc, name)
	}
}

func (r *maintenanceRun) fail(dc, host string) {
	if !r.apply(dc, &wire.Record{Body: &wire.Record_Fail{Fail: &wire.HostAction{Host: host}}}).Accepted {
		return
	}
	since := r.s.Hosts[host].Since
	r.clock.after(repairTime, func(time.Time) {
		r.apply(dc, &wire.Record{Body: &wire.Record_Recover{Recover: &wire.HostAction{Host: host, Since: since}}})
	})
}

func (r *maintenanceRun) nextFailure() {
	gap := time.Duration(r.random.ExpFloat64() / r.faults.FailuresPerDay * float64(24*time.Hour))
	r.clock.after(gap, func(time.Time) {
		names := r.s.HostNames()
		host := names[r.random.IntN(len(names))]
		r.fail(r.s.Document.Hosts[host].DataCentre, host)
		r.nextFailure()
	})
}

// sample adds up an hour's buffer, served work and overdue hosts.
func (r *maintenanceRun) sample(now time.Time) {
	hours := now.Sub(r.sampled).Hours()
	r.sampled = now
	all := r.s.Availabilities()
	demand := r.demandAt(now)
	r.result.BufferHostHours += hours * float64(r.slack)
	flooded := r.turn(now)
	for pool, asked := range demand {
		if pool != flooded {
			r.asked += hours * asked
			r.kept += hours * min(asked, float64(all[pool].Slots))
		}
	}
	for name, h := range r.s.Hosts {
		if now.Sub(h.Maintained) > r.s.Document.Maintenance.Interval.Std() {
			r.overdue[name] = true
		}
	}
}

// slack is the number of hosts that the declared budgets hold back.
func (f Fleet) slack() int {
	members := map[string]int{}
	for _, h := range f.Document.Hosts {
		members[h.Pool]++
	}
	slack := 0
	for pool, declared := range f.Document.Pools {
		slack += max(members[pool]-declared.Budget.MinAvailableHosts, 0)
	}
	return slack
}
