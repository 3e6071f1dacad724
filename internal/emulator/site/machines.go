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
	// moveTime and maintenanceTime are how long a machine is away for either.
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	// machineLatency is how long the service takes to answer.
	machineLatency = 5 * time.Millisecond
)

// simMachine is one machine; its worker changes with each life.
type simMachine struct {
	name, pool, dataCentre, rack string
	capacity                     worker.Resources
	state                        machine.State
	worker                       *Worker
	lives                        int
	// maintained are the waves in which it was taken down.
	maintained map[int64]bool
	fence      worker.Fence
}

// machineAccess is one entry host's way to the service of machines.
type machineAccess struct {
	site *Site
	host *EntryHost
}

func (a *machineAccess) enter(ctx context.Context) error {
	if a.site.trouble(a.host.Name).Silent {
		<-ctx.Done()
		return verdict.Doubt(verdict.CauseUpstreamSilent, "the service of machines does not answer")
	}
	if err := pause.For(ctx, machineLatency); err != nil {
		return verdict.Doubt(verdict.CauseUpstreamSilent, "the service of machines is slow")
	}
	return nil
}

// List gives all machines.
func (a *machineAccess) List(ctx context.Context) ([]machine.Machine, error) {
	if err := a.enter(ctx); err != nil {
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
		m.sentAway("a move")
		a.site.takeDown(m, machine.Moving, pool, moveTime)
		return machine.Accepted
	})
}

// Maintain takes a machine down for a wave.
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
			a.site.ledger.broken("limit: machine %s goes down while %d of wave %d are", name, down, wave)
		}
		m.maintained[wave] = true
		a.site.ledger.Maintained++
		m.sentAway("maintenance")
		a.site.takeDown(m, machine.Maintenance, m.pool, maintenanceTime)
		return machine.Accepted
	})
}

func (a *machineAccess) order(ctx context.Context, holder machine.Holder, name string, carry func(*simMachine) machine.Outcome) (machine.Outcome, error) {
	if err := a.enter(ctx); err != nil {
		return machine.Invalid, err
	}
	a.site.mu.Lock()
	defer a.site.mu.Unlock()
	m, ok := a.site.machines[name]
	if !ok {
		return machine.Invalid, nil
	}
	if holder.Fence < m.fence {
		return machine.Fenced, nil
	}
	m.fence = holder.Fence
	a.site.ledger.ordered(name, holder.Name, holder.Fence)
	return carry(m), nil
}

// sentAway checks what an order ends on the machine.
func (m *simMachine) sentAway(order string) {
	if m.worker != nil {
		m.worker.sentAway(order)
	}
}

// takeDown ends the machine's worker and starts another one later; the site's lock is held.
func (s *Site) takeDown(m *simMachine, state machine.State, pool string, away time.Duration) {
	old := m.worker
	m.worker, m.state, m.pool = nil, state, pool
	if old != nil {
		old.kill()
		s.unlist(old.id)
	}
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			s.bringUp(m)
		}
	})
}

// bringUp starts a machine's next worker; the site's lock is held.
func (s *Site) bringUp(m *simMachine) {
	m.state = machine.Up
	if m.pool == SparePool {
		return
	}
	m.lives++
	id := worker.ID(fmt.Sprintf("%s.%d", m.name, m.lives))
	m.worker = newWorker(s, id, m, 1-slowestClock*s.random())
	s.workers[id] = m.worker
	s.list(m.worker)
}

// slowestClock is how much slower than true time a worker's clock may run.
const slowestClock = 0.02
