package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// restriction is one change of what hosts may be used for, by pool.
type restriction struct {
	pool string
	use  schedule.Use
}

// uses tells what hosts may be used for after an action.
var uses = map[capacity.Kind]schedule.Use{
	capacity.Cordon: schedule.UseNone, capacity.Retire: schedule.UseShort, capacity.Lift: schedule.UseAll,
}

// carryOut does what was planned: restrictions one call a pool, orders at the rate of
// the service of machines.
func (f *fleetOwner) carryOut(ctx context.Context, actions []capacity.Action) {
	restrictions := map[restriction][]worker.ID{}
	left := f.host.settings.Capacity.ordersAtOnce()
	for _, a := range actions {
		if use, ok := uses[a.Kind]; ok {
			key := restriction{a.Pool, use}
			restrictions[key] = append(restrictions[key], a.Worker)
			f.host.events.Event("host-"+a.Kind.String(), "machine", a.Machine, "host", a.Worker, "pool", a.Pool, "reason", a.Reason, "wave", a.Wave)
			continue
		}
		if left--; left >= 0 {
			// What is left out comes with the next plan, before the rate allows more.
			f.act(ctx, a)
		}
	}
	for key, hosts := range restrictions {
		if !f.host.restrict(ctx, key.pool, hosts, key.use) {
			f.host.events.Event("restrict-failed", "pool", key.pool, "use", key.use, "hosts", len(hosts))
		}
	}
}

// act carries one action out.
func (f *fleetOwner) act(ctx context.Context, a capacity.Action) {
	o := &machineOrder{action: a, sentAt: f.host.now()}
	f.mu.Lock()
	f.ordered[a.Machine] = o
	f.mu.Unlock()
	f.loops.Go(func() { f.order(ctx, o) })
}

const (
	// orderFresh is how old the loads may be by which an order was decided or is
	// confirmed: a plan and a record's usual time.
	orderFresh = 400 * time.Millisecond
	// orderLate is how long after it was sent an order without an answer may still be
	// carried out, from the contract of the service of machines.
	orderLate = 12 * time.Second
)

// order sends an order until it is answered; it takes effect only once.
func (f *fleetOwner) order(ctx context.Context, o *machineOrder) {
	for ctx.Err() == nil {
		// The record comes first; it may have taken longer than the tenure is confirmed for.
		if !f.announce(ctx, o.action.Machine) || !f.confirmed(f.host.now()) {
			wait(ctx, fleetInterval)
			continue
		}
		if now := f.host.now(); !f.holds(o, now) {
			if o.lastSent.IsZero() || now.Sub(o.lastSent) > orderLate {
				f.drop(o)
				return
			}
			wait(ctx, fleetInterval)
			continue
		}
		o.lastSent = f.host.now()
		outcome, err := f.send(ctx, o.action)
		f.noteOrdered(o.action.Machine)
		f.host.events.Event("machine-ordered", "machine", o.action.Machine, "order", o.action.Kind, "pool", o.action.Pool, "to", o.action.To,
			"wave", o.action.Wave, "reason", o.action.Reason, "fence", f.token, "outcome", outcome, "error", err)
		if err == nil && outcome != machine.Limited {
			f.answered(ctx, o, outcome)
			return
		}
		wait(ctx, retryPause)
	}
}

// holds tells whether an order may still be sent: it was decided just now, or what is
// known of the pool now allows it as well.
func (f *fleetOwner) holds(o *machineOrder, now time.Time) bool {
	if now.Sub(o.sentAt) <= orderFresh {
		return true
	}
	config := f.host.config()
	for n := range config.Pools {
		if config.Pools[n].Name == o.action.Pool && config.Pools[n].Spare {
			return true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.loadedAt) <= orderFresh && o.action.Allowed(f.loads[o.action.Pool])
}

// drop takes an order back that has not been sent, or can't be carried out any more.
func (f *fleetOwner) drop(o *machineOrder) {
	f.host.events.Event("order-dropped", "machine", o.action.Machine, "order", o.action.Kind, "pool", o.action.Pool,
		"age", f.host.now().Sub(o.sentAt), "sent", !o.lastSent.IsZero())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(o)
}

// forget ends an order without an effect; the next plan begins with a new list. The lock
// is held.
func (f *fleetOwner) forget(o *machineOrder) {
	delete(f.ordered, o.action.Machine)
	f.listedAt = time.Time{}
}

func (f *fleetOwner) send(ctx context.Context, a capacity.Action) (machine.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	holder := machine.Holder{Name: f.host.settings.Name, Fence: worker.Fence(f.token)}
	if a.Kind == capacity.Move {
		return f.host.platform.Machines.Move(ctx, holder, a.Machine, a.To)
	}
	return f.host.platform.Machines.Maintain(ctx, holder, a.Machine, a.Wave)
}

func (f *fleetOwner) answered(ctx context.Context, o *machineOrder, outcome machine.Outcome) {
	if outcome == machine.Accepted {
		if o.action.Kind == capacity.Maintain {
			f.markBegun(o.action.Wave, o.action.Machine)
			f.record(ctx, o.action)
		}
		f.mu.Lock()
		o.acceptedAt = f.host.now()
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	f.forget(o)
	fenced := outcome == machine.Fenced && !f.fenced
	f.fenced = f.fenced || fenced
	f.mu.Unlock()
	if fenced {
		f.lost()
	}
}

// lost begins a new tenure, since a later owner was seen to have had the machines.
func (f *fleetOwner) lost() {
	tenure := keyedlog.Partition{Topic: TopicJobs, Number: fleetPartition}
	f.host.spawn(func() { f.host.keeper.Reacquire(tenure, f.token) })
}
