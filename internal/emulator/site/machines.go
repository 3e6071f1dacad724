package site

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// moveTime and maintenanceTime are how long a machine is down for a move or maintenance.
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	// machineLatency is how long the machine service takes to answer.
	machineLatency = 5 * time.Millisecond
)

// simMachine is an emulated machine. Each of its incarnations has a new worker.
type simMachine struct {
	name, pool, dataCentre, rack string
	capacity                     worker.Resources
	state                        machine.State
	worker                       *Worker
	incarnations                 int
	// maintained holds the waves in which the machine was taken down.
	maintained map[int64]bool
	token      worker.FencingToken
	// keepID makes the next incarnation's worker have the same ID as the last one.
	keepID bool
}

// machineAccess is an entry host's client of the machine service.
type machineAccess struct {
	site *Site
	host *EntryHost
}

// simulateCall waits for the latency of a call; an error means that nothing was done.
func (a *machineAccess) simulateCall(ctx context.Context) error {
	if a.site.storeFault(a.host.Name).Unresponsive || a.site.isMachineServiceDown() {
		<-ctx.Done()
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the machine service does not answer")
	}
	if err := pause.For(ctx, machineLatency); err != nil {
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, "the machine service did not answer in time")
	}
	return nil
}

func (s *Site) isMachineServiceDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machineServiceDown
}

// List returns all machines.
func (a *machineAccess) List(ctx context.Context) ([]machine.Machine, error) {
	if err := a.simulateCall(ctx); err != nil {
		return nil, err
	}
	a.site.mu.Lock()
	defer a.site.mu.Unlock()
	var list []machine.Machine
	for _, m := range a.site.machines {
		row := machine.Machine{
			Name: m.name, Pool: m.pool, State: m.state, DataCentre: m.dataCentre, Kind: "a", Rack: m.rack, Capacity: m.capacity,
		}
		if m.worker != nil && m.state == machine.Up {
			row.Worker = m.worker.id
		}
		list = append(list, row)
	}
	slices.SortFunc(list, func(x, y machine.Machine) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return list, nil
}

// Move moves a machine to another pool.
func (a *machineAccess) Move(ctx context.Context, holder machine.Holder, name, pool string) (machine.Outcome, error) {
	return a.order(ctx, holder, name, func(m *simMachine) machine.Outcome {
		if m.pool == pool {
			return machine.Accepted
		}
		if m.state != machine.Up {
			return machine.Busy
		}
		a.site.ledger.Moves++
		m.recordOrderedEnds("a move")
		a.site.takeDown(m, machine.Moving, pool, moveTime)
		return machine.Accepted
	})
}

// Maintain takes a machine down for maintenance in a wave.
func (a *machineAccess) Maintain(ctx context.Context, holder machine.Holder, name string, wave int64) (machine.Outcome, error) {
	return a.order(ctx, holder, name, func(m *simMachine) machine.Outcome {
		w, ok := a.site.waves[wave]
		switch {
		case !ok || !slices.Contains(w.Machines, name):
			return machine.NotInWave
		case m.maintained[wave]:
			return machine.Accepted
		case m.state != machine.Up:
			return machine.Busy
		}
		down := 0
		for _, other := range a.site.machines {
			if other.state == machine.Maintenance && other.maintained[wave] {
				down++
			}
		}
		if down >= w.MaxDown {
			a.site.ledger.reportViolation("limit: machine %s goes down while %d machines of wave %d are down", name, down, wave)
		}
		m.maintained[wave] = true
		a.site.ledger.Maintained++
		m.recordOrderedEnds("maintenance")
		a.site.takeDown(m, machine.Maintenance, m.pool, maintenanceTime)
		return machine.Accepted
	})
}

// order applies a holder's order to a machine unless its fencing token is out of date.
func (a *machineAccess) order(ctx context.Context, holder machine.Holder, name string, apply func(*simMachine) machine.Outcome) (machine.Outcome, error) {
	if err := a.simulateCall(ctx); err != nil {
		return machine.Invalid, err
	}
	a.site.mu.Lock()
	defer a.site.mu.Unlock()
	m, ok := a.site.machines[name]
	if !ok {
		return machine.Invalid, nil
	}
	if holder.Token < m.token {
		return machine.Fenced, nil
	}
	m.token = holder.Token
	a.site.ledger.ordered(name, holder.Name, holder.Token)
	return apply(m), nil
}

// recordOrderedEnds records and checks the ends of all runs that an order ends on the machine.
func (m *simMachine) recordOrderedEnds(order string) {
	if m.worker != nil {
		m.worker.recordOrderedEnds(order)
	}
}

// takeDown ends the machine's worker and starts a new one after the downtime. The caller
// holds the site's lock.
func (s *Site) takeDown(m *simMachine, state machine.State, pool string, downtime time.Duration) {
	old := m.worker
	m.worker, m.state, m.pool = nil, state, pool
	if old != nil {
		old.kill()
		s.withdrawReport(old.id)
	}
	s.bringUpAfter(m, downtime)
}

// goDark crashes a machine's worker without a word and starts it again under its ID after the
// downtime. Its report is removed once it has missed too many. The caller holds the site's lock.
func (s *Site) goDark(m *simMachine, downtime time.Duration) {
	old := m.worker
	m.worker, m.state, m.keepID = nil, machine.Down, true
	old.goDark()
	time.AfterFunc(maxMissed*reportInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.workers[old.id] == old {
			s.withdrawReport(old.id)
		}
	})
	s.bringUpAfter(m, downtime)
}

func (s *Site) bringUpAfter(m *simMachine, downtime time.Duration) {
	time.AfterFunc(downtime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			s.bringUp(m)
		}
	})
}

// bringUp starts the worker of a machine's next incarnation, unless the machine is in the
// spare pool. The caller holds the site's lock.
func (s *Site) bringUp(m *simMachine) {
	m.state = machine.Up
	if m.pool == SparePool {
		return
	}
	if !m.keepID {
		m.incarnations++
	}
	m.keepID = false
	id := worker.ID(fmt.Sprintf("%s.%d", m.name, m.incarnations))
	m.worker = newWorker(s, id, m, 1-maxClockSlowdown*s.random())
	s.workers[id] = m.worker
	s.publishReport(m.worker)
	if s.heartbeats {
		s.heartbeat(m.worker, time.Duration(s.random()*float64(reportInterval)), 0)
	}
}

// maxClockSlowdown is the largest share by which a worker's clock may run slow.
const maxClockSlowdown = 0.02
