package jobhost

import (
	"context"
	"maps"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// reportGone reports to the pools' owners which of their unresponsive workers have ended
// according to the list of machines.
func (f *fleetOwner) reportGone(ctx context.Context, loads map[string]*schedule.Load) {
	f.mu.Lock()
	view := capacity.View{Now: f.host.now(), Machines: f.machines, ListedAt: f.listedAt}
	workers := maps.Clone(f.workers)
	f.mu.Unlock()
	for pool, load := range loads {
		for _, id := range view.GoneWorkers(load) {
			w, known := workers[id]
			f.host.reportGone(ctx, pool, id, load.Hosts[id].LastSeen, known && !view.MayReturn(w.machine))
		}
	}
}

// listMachines lists the machines, if that is due, and removes the orders that are settled.
func (f *fleetOwner) listMachines(ctx context.Context) {
	now := f.host.now()
	f.mu.Lock()
	since := now.Sub(f.listedAt)
	due := since >= machinesInterval || (len(f.ordered) > 0 && since >= f.host.settings.Capacity.readInterval())
	f.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	machines, err := f.host.platform.Machines.List(ctx)
	if err != nil {
		f.host.events.Event("machines-unlisted", "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logChanges(machines)
	f.machines, f.listedAt = machines, now
	f.noteWorkers()
	byName := make(map[string]*machine.Machine, len(machines))
	for n := range machines {
		byName[machines[n].Name] = &machines[n]
	}
	for name, o := range f.ordered {
		if f.settled(o, byName[name], now) {
			delete(f.ordered, name)
		}
	}
}

// workerMemory is how long after it was last listed it is known on which machine a worker was.
const workerMemory = time.Minute

// listedWorker is the machine of a worker and when the list last showed that.
type listedWorker struct {
	machine  string
	listedAt time.Time
}

// noteWorkers notes the machines of the listed workers.
func (f *fleetOwner) noteWorkers() {
	for n := range f.machines {
		if m := &f.machines[n]; m.Worker != "" {
			f.workers[m.Worker] = listedWorker{m.Name, f.listedAt}
		}
	}
	maps.DeleteFunc(f.workers, func(_ worker.ID, w listedWorker) bool { return f.listedAt.Sub(w.listedAt) > workerMemory })
}

// logChanges logs the machines whose state or worker has changed since the last list.
func (f *fleetOwner) logChanges(machines []machine.Machine) {
	previous := make(map[string]*machine.Machine, len(f.machines))
	for n := range f.machines {
		previous[f.machines[n].Name] = &f.machines[n]
	}
	for n := range machines {
		m := &machines[n]
		if old, ok := previous[m.Name]; ok && (old.State != m.State || old.Worker != m.Worker) {
			f.host.events.Event("machine-changed", "machine", m.Name, "pool", m.Pool, "state", m.State, "before", old.State,
				"worker", m.Worker, "worker-before", old.Worker)
		}
	}
}

// settled reports whether an order is complete, or its effect is no longer awaited, given
// its machine in a list that was requested at listedAt.
func (f *fleetOwner) settled(o *machineOrder, m *machine.Machine, listedAt time.Time) bool {
	if m == nil {
		return true
	}
	duration := f.host.settings.Capacity.Options.MoveTime
	if o.action.Kind == capacity.Maintain {
		duration = f.host.settings.Capacity.Options.MaintenanceTime
	}
	if o.acceptedAt.IsZero() {
		return false
	}
	since := listedAt.Sub(o.acceptedAt)
	if o.action.Kind == capacity.Move && m.State == machine.Up && m.Pool == o.action.To {
		return true
	}
	if o.action.Kind == capacity.Maintain && m.State == machine.Up && since > duration {
		return true
	}
	return since > orderTimeoutFactor*duration && m.State != machine.Moving && m.State != machine.Maintenance
}
