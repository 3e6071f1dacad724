package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// tellGone tells the pools' owners which workers that don't answer have ended.
func (f *fleetOwner) tellGone(ctx context.Context, loads map[string]*schedule.Load) {
	f.mu.Lock()
	view := capacity.View{Now: f.host.now(), Machines: f.machines, ListedAt: f.listedAt}
	f.mu.Unlock()
	for pool, load := range loads {
		for _, id := range view.Gone(load) {
			f.host.gone(ctx, pool, id)
		}
	}
}

// list asks for the machines and finds out which orders have taken effect.
func (f *fleetOwner) list(ctx context.Context) {
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
	f.noteChanges(machines)
	f.machines, f.listedAt = machines, now
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

// noteChanges logs which machines changed their state or worker since the last list.
func (f *fleetOwner) noteChanges(machines []machine.Machine) {
	before := make(map[string]*machine.Machine, len(f.machines))
	for n := range f.machines {
		before[f.machines[n].Name] = &f.machines[n]
	}
	for n := range machines {
		m := &machines[n]
		if b, ok := before[m.Name]; ok && (b.State != m.State || b.Worker != m.Worker) {
			f.host.events.Event("machine-changed", "machine", m.Name, "pool", m.Pool, "state", m.State, "before", b.State,
				"worker", m.Worker, "worker-before", b.Worker)
		}
	}
}

// settled tells whether an order has come to its end, as a list asked for at listed shows.
func (f *fleetOwner) settled(o *machineOrder, m *machine.Machine, listed time.Time) bool {
	if m == nil {
		return true
	}
	takes := f.host.settings.Capacity.Options.MoveTime
	if o.action.Kind == capacity.Maintain {
		takes = f.host.settings.Capacity.Options.MaintenanceTime
	}
	if o.acceptedAt.IsZero() {
		return false
	}
	since := listed.Sub(o.acceptedAt)
	if o.action.Kind == capacity.Move && m.State == machine.Up && m.Pool == o.action.To {
		return true
	}
	if o.action.Kind == capacity.Maintain && m.State == machine.Up && since > takes {
		return true
	}
	return since > orderPatience*takes && m.State != machine.Moving && m.State != machine.Maintenance
}
