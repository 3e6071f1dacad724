package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// restriction groups the hosts of a pool that get the same use.
type restriction struct {
	pool string
	use  schedule.Use
}

// useAfter maps the kinds of actions that restrict a host to what the host may be used for
// afterwards. All other kinds are orders to the machine service.
var useAfter = map[capacity.Kind]schedule.Use{
	capacity.Cordon: schedule.UseNone, capacity.Retire: schedule.UseShortTasks, capacity.LiftRestriction: schedule.UseAll,
}

// carryOut carries out planned actions: it groups restrictions into one call per pool and
// use, and sends orders at no more than the rate limit of the machine service.
func (f *fleetOwner) carryOut(ctx context.Context, actions []capacity.Action) {
	restrictions := map[restriction][]worker.ID{}
	ordersLeft := f.host.settings.Capacity.ordersPerPlan(f.openOrders())
	for _, a := range actions {
		if use, ok := useAfter[a.Kind]; ok {
			key := restriction{a.Pool, use}
			restrictions[key] = append(restrictions[key], a.Worker)
			f.host.events.Event("host-"+a.Kind.String(), "machine", a.Machine, "host", a.Worker, "pool", a.Pool, "reason", a.Reason, "wave", a.Wave)
			continue
		}
		if ordersLeft--; ordersLeft >= 0 {
			// Orders beyond the limits are left to the next plan, which contains their actions
			// again and is due before the rate limit allows more orders.
			f.startOrder(ctx, a)
		}
	}
	for key, hosts := range restrictions {
		if !f.host.restrict(ctx, key.pool, hosts, key.use) {
			f.host.events.Event("restrict-failed", "pool", key.pool, "use", key.use, "hosts", len(hosts))
		}
	}
}

// openOrders returns how many orders the machine service has not accepted yet.
func (f *fleetOwner) openOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := 0
	for _, o := range f.ordered {
		if o.acceptedAt.IsZero() {
			open++
		}
	}
	return open
}

// startOrder sends the order of an action in the background.
func (f *fleetOwner) startOrder(ctx context.Context, a capacity.Action) {
	o := &machineOrder{action: a, decidedAt: f.host.now()}
	f.mu.Lock()
	f.ordered[a.Machine] = o
	f.mu.Unlock()
	f.loops.Go(func() { f.sendUntilAnswered(ctx, o) })
}

const (
	// maxLoadAge is the maximum age of the loads on which an order was decided or is
	// revalidated. It allows for one planning interval and the usual time to write the
	// record.
	maxLoadAge = 400 * time.Millisecond
	// lateEffectTime is how long after it was sent an unanswered order may still take
	// effect, according to the contract of the machine service.
	lateEffectTime = 12 * time.Second
)

// sendUntilAnswered sends an order repeatedly until the machine service answers it, or until
// it is no longer valid. Repetitions are safe: the order takes effect only once.
func (f *fleetOwner) sendUntilAnswered(ctx context.Context, o *machineOrder) {
	for ctx.Err() == nil {
		// The order must be announced first. The write may take so long that the tenure is
		// no longer confirmed afterwards.
		if !f.announce(ctx, o.action.Machine) || !f.confirmed(f.host.now()) {
			wait(ctx, fleetInterval)
			continue
		}
		if now := f.host.now(); !f.stillValid(o, now) {
			if o.lastSent.IsZero() || now.Sub(o.lastSent) > lateEffectTime {
				f.abandon(o)
				return
			}
			wait(ctx, fleetInterval)
			continue
		}
		o.lastSent = f.host.now()
		outcome, err := f.send(ctx, o.action)
		f.markOrdered(o.action.Machine)
		f.host.events.Event("machine-ordered", "machine", o.action.Machine, "order", o.action.Kind, "pool", o.action.Pool, "to", o.action.To,
			"wave", o.action.Wave, "reason", o.action.Reason, "fence", f.token, "outcome", outcome, "error", err)
		if err == nil && outcome != machine.Limited {
			f.applyOutcome(ctx, o, outcome)
			return
		}
		wait(ctx, retryPause)
	}
}

// stillValid reports whether an order may be sent: it was decided within maxLoadAge, the
// pool is a spare pool, or the pool's recent load still allows it.
func (f *fleetOwner) stillValid(o *machineOrder, now time.Time) bool {
	if now.Sub(o.decidedAt) <= maxLoadAge {
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
	return now.Sub(f.loadedAt) <= maxLoadAge && o.action.Allowed(f.loads[o.action.Pool])
}

// abandon gives up an order that has not been sent or can no longer take effect.
func (f *fleetOwner) abandon(o *machineOrder) {
	f.host.events.Event("order-dropped", "machine", o.action.Machine, "order", o.action.Kind, "pool", o.action.Pool,
		"age", f.host.now().Sub(o.decidedAt), "sent", !o.lastSent.IsZero())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(o)
}

// remove removes an order that has had no effect, and has the machines listed again before
// the next plan. The lock is held.
func (f *fleetOwner) remove(o *machineOrder) {
	delete(f.ordered, o.action.Machine)
	f.listedAt = time.Time{}
}

func (f *fleetOwner) send(ctx context.Context, a capacity.Action) (machine.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	holder := machine.Holder{Name: f.host.settings.Name, Token: worker.FencingToken(f.token)}
	if a.Kind == capacity.Move {
		return f.host.platform.Machines.Move(ctx, holder, a.Machine, a.To)
	}
	return f.host.platform.Machines.Maintain(ctx, holder, a.Machine, a.Wave)
}

func (f *fleetOwner) applyOutcome(ctx context.Context, o *machineOrder, outcome machine.Outcome) {
	if outcome == machine.Accepted {
		if o.action.Kind == capacity.Maintain {
			f.markStarted(o.action.Wave, o.action.Machine)
			f.recordStarted(ctx, o.action)
		}
		f.mu.Lock()
		o.acceptedAt = f.host.now()
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	f.remove(o)
	fenced := outcome == machine.Fenced && !f.fenced
	f.fenced = f.fenced || fenced
	f.mu.Unlock()
	if fenced {
		f.reacquire()
	}
}

// reacquire requests a new tenure because a later owner of the machines was seen.
func (f *fleetOwner) reacquire() {
	partition := jobsPartition(fleetOwnerPartition)
	f.host.spawn(func() { f.host.keeper.Reacquire(partition, f.token) })
}
