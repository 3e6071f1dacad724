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
	// runLength is the virtual time of a run: seven weeks, which is one maintenance interval.
	runLength = 7 * 24 * time.Hour * 7
	// planInterval is the time between two plans of a data centre.
	planInterval = 5 * time.Minute
	// drainTime is the mean time for which a host drains, rebootTime the time of a reboot.
	drainTime  = 4 * time.Minute
	rebootTime = 10 * time.Minute
	// confirmTime is how long the entry hosts take to confirm that they are up to date.
	confirmTime = 2 * time.Second
	// repairTime is how long a failed host is down.
	repairTime = 4 * time.Hour
	// poolFloodTime is how long each pool floods in its turn: its demand is then floodFactor
	// times its mean, that is five times.
	poolFloodTime = time.Hour
	// meanLoad is the mean demand on a pool as a share of the slots that its budget
	// guarantees.
	meanLoad = 0.5
)

// Planner is a maintenance policy under test.
type Planner func(s *state.State, dataCentre string, demand maintenance.Demand, now time.Time) maintenance.Plan

// MaintenanceFaults are the faults that are injected into a run.
type MaintenanceFaults struct {
	// FailuresPerDay is the mean number of failures of single hosts per day.
	FailuresPerDay float64
	// RackFails makes a rack fail half an hour after the first drain for a reboot.
	RackFails bool
	// ContactLost makes a data centre lose contact an hour after the first drain for a
	// reboot, for ten minutes.
	ContactLost bool
}

// MaintenanceResult holds the measurements of one run.
type MaintenanceResult struct {
	// BufferHostHours is the number of hosts beyond those that the budgets guarantee,
	// times the hours of the run.
	BufferHostHours float64
	// RolloutHours is the time from the first drain for a reboot to the last return.
	RolloutHours float64
	// Moves counts the moves of hosts between pools, HostsMoved the hosts that were moved.
	Moves      int
	HostsMoved int
	// ServedPercent is the share of the demand on pools that don't flood that could be served,
	// in percent.
	ServedPercent float64
	// BudgetBreaks counts grants that left a pool below its budget.
	BudgetBreaks int
	// OverdueHosts counts the hosts that ever exceeded the maintenance interval.
	OverdueHosts int
	// Maintained counts completed maintenances, Refused the proposals that the fold
	// refused, Halts the accepted proposals to halt a wave.
	Maintained int
	Refused    int
	Halts      int
}

// maintenanceRun drives the fold and a planner in virtual time.
type maintenanceRun struct {
	clock       *clock
	shape       Fleet
	planner     Planner
	faults      MaintenanceFaults
	random      *rand.Rand
	s           *state.State
	recordCount int
	result      MaintenanceResult
	moved       map[string]bool
	overdue     map[string]bool
	// firstDrain and lastReturn are the start and the end of the roll-out.
	firstDrain, lastReturn time.Time
	// demandHours is the demand on pools that don't flood, servedHours the part of it
	// that could be served, both in slot hours.
	demandHours, servedHours float64
	faultsInjected           bool
	lastSample               time.Time
	trace                    io.Writer
	bufferHosts              int
}

// RunOption sets an option of a run.
type RunOption func(*maintenanceRun)

// WithTrace writes a line for each host that a record takes into another phase or pool.
func WithTrace(w io.Writer) RunOption { return func(r *maintenanceRun) { r.trace = w } }

// RunMaintenance runs a planner over seven weeks of virtual time.
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
	r.clock.runUntil(r.clock.now.Add(runLength))
	r.result.RolloutHours = r.lastReturn.Sub(r.firstDrain).Hours()
	r.result.HostsMoved = len(r.moved)
	r.result.OverdueHosts = len(r.overdue)
	r.result.ServedPercent = 100 * r.servedHours / max(r.demandHours, 1)
	return r.result
}

// begin folds the records that declare the fleet and the entry hosts.
func (r *maintenanceRun) begin() {
	if outcome := r.apply("", r.shape.Declaration()); !outcome.Accepted {
		panic("the fleet's declaration was refused: " + outcome.Message)
	}
	for _, dc := range r.shape.DataCentres {
		members := &wire.Members{EntryHosts: []string{dc + "-1", dc + "-2"}}
		r.apply(dc, &wire.Record{Body: &wire.Record_Members{Members: members}})
	}
	r.lastSample = r.clock.now
	r.bufferHosts = r.shape.bufferHosts()
}

// apply folds a record as if read from the log, and checks the pool's budget if the
// record grants a drain.
func (r *maintenanceRun) apply(dc string, record *wire.Record) state.Outcome {
	r.recordCount++
	record.Id = fmt.Sprint(r.recordCount)
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
	r.writeTrace(r.s, next)
	r.s = next
	return outcome
}

// writeTrace writes a line for each host that a record took into another phase or pool.
func (r *maintenanceRun) writeTrace(before, after *state.State) {
	if r.trace == io.Discard {
		return
	}
	for _, name := range after.HostNames() {
		h := after.Hosts[name]
		if was, ok := before.Hosts[name]; !ok || was.Since == h.Since {
			continue
		}
		_, _ = fmt.Fprintf(r.trace, "%s %s %s in %q, then %q, to %q\n",
			r.clock.now.Format("01-02 15:04:05"), name, h.Phase, h.Pool, h.Purpose, h.ToPool)
	}
}

func (r *maintenanceRun) every(d time.Duration, run func(time.Time)) {
	r.clock.after(d, func(now time.Time) {
		run(now)
		r.every(d, run)
	})
}

// floodedPool returns the pool whose demand is floodFactor (five) times its mean at a time.
func (r *maintenanceRun) floodedPool(now time.Time) string {
	return r.shape.ServingPools[int(now.Sub(epoch)/poolFloodTime)%len(r.shape.ServingPools)]
}

func (r *maintenanceRun) demandAt(now time.Time) maintenance.Demand {
	demand := maintenance.Demand{}
	flooded := r.floodedPool(now)
	for _, pool := range r.shape.ServingPools {
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
		r.followDrain(dc, p.Host)
	}
}

// followDrain schedules the end of a granted drain, and the fault injection with the first
// drain for a reboot.
func (r *maintenanceRun) followDrain(dc, host string) {
	if r.s.Hosts[host].Purpose == state.Reboot {
		if r.firstDrain.IsZero() {
			r.firstDrain = r.clock.now
		}
		r.injectFaults()
	}
	empties := time.Duration((0.5 + r.random.Float64()) * float64(drainTime))
	r.clock.after(empties+confirmTime, func(time.Time) {
		r.confirm(dc)
		if h := r.s.Hosts[host]; h.Phase == state.Drained {
			r.drained(dc, h)
		}
	})
}

// confirm folds the report of all entry hosts of a data centre that they are up to date.
func (r *maintenanceRun) confirm(dc string) {
	entries := []*wire.Position{}
	for _, name := range r.s.DataCentres[dc].Members {
		entries = append(entries, &wire.Position{EntryHost: name, Offset: r.s.Position, Busy: r.busy(dc)})
	}
	r.apply(dc, &wire.Record{Body: &wire.Record_Positions{Positions: &wire.Positions{Entries: entries}}})
}

// busy returns the draining hosts that can't be empty yet.
func (r *maintenanceRun) busy(dc string) []string {
	busy := []string{}
	for _, name := range r.s.AwaitingConfirmation(dc) {
		h := r.s.Hosts[name]
		if h.Phase == state.Draining && r.clock.now.Sub(h.SinceTime) < drainTime/2 {
			busy = append(busy, name)
		}
	}
	return busy
}

func (r *maintenanceRun) drained(dc string, h state.Host) {
	action := &wire.HostAction{Host: h.Name, Since: h.Since}
	if h.Purpose == state.Lend {
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
			r.lastReturn = now
		}
	})
}

// injectFaults schedules the faults of the first wave, once it is under way.
func (r *maintenanceRun) injectFaults() {
	if r.faultsInjected {
		return
	}
	r.faultsInjected = true
	dc := r.shape.DataCentres[0]
	if r.faults.RackFails {
		r.clock.after(30*time.Minute, func(time.Time) { r.failRack(dc) })
	}
	if r.faults.ContactLost {
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

// sample adds the buffer, the demand and the served work since the last sample to the
// result and marks overdue hosts.
func (r *maintenanceRun) sample(now time.Time) {
	hours := now.Sub(r.lastSample).Hours()
	r.lastSample = now
	all := r.s.Availabilities()
	demand := r.demandAt(now)
	r.result.BufferHostHours += hours * float64(r.bufferHosts)
	flooded := r.floodedPool(now)
	for pool, demanded := range demand {
		if pool != flooded {
			r.demandHours += hours * demanded
			r.servedHours += hours * min(demanded, float64(all[pool].Slots))
		}
	}
	for name, h := range r.s.Hosts {
		if now.Sub(h.MaintainedAt) > r.s.Document.Maintenance.Interval.Std() {
			r.overdue[name] = true
		}
	}
}

// bufferHosts returns the number of hosts beyond those that the declared budgets guarantee.
func (f Fleet) bufferHosts() int {
	members := map[string]int{}
	for _, h := range f.Document.Hosts {
		members[h.Pool]++
	}
	bufferHosts := 0
	for pool, declared := range f.Document.Pools {
		bufferHosts += max(members[pool]-declared.Budget.MinAvailableHosts, 0)
	}
	return bufferHosts
}
