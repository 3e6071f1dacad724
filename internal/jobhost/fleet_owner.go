package jobhost

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/capacity"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// fleetInterval is how often capacity is planned; demand changes within seconds.
	fleetInterval = 250 * time.Millisecond
	// machinesInterval is how often machines are listed while no order is pending.
	machinesInterval = time.Second
	// machineTimeout bounds one call to the machine service.
	machineTimeout = 2 * time.Second
	// orderTimeoutFactor is how long the effect of an accepted order is awaited before the
	// machine may be ordered again, as a multiple of the order's usual duration.
	orderTimeoutFactor = 3
	// keyWave is the key prefix of records that a machine's maintenance has started in a wave.
	keyWave = "wave/"
)

// Capacity configures the planning of machines for pools, and the use of the machine
// service.
type Capacity struct {
	Options capacity.Options
	// HolderLease is how long after one holder's order of a machine no other holder may
	// order it.
	HolderLease time.Duration
	// OrdersPerSecond and ReadsPerSecond are the rate limits of the machine service for all
	// entry hosts together.
	OrdersPerSecond, ReadsPerSecond float64
	// MaxOpenOrders is how many orders may wait for an answer of the machine service.
	MaxOpenOrders int
}

// ordersPerPlan is how many orders may be sent after a plan while open ones wait for an
// answer: as many as the rate limit allows between two plans, at least one, within
// MaxOpenOrders.
func (c *Capacity) ordersPerPlan(open int) int {
	return max(0, min(max(1, int(c.OrdersPerSecond*fleetInterval.Seconds())), c.MaxOpenOrders-open))
}

// readInterval is the interval of listing machines while orders are pending. It uses half
// of the rate limit and leaves the rest for further pages of long lists.
func (c *Capacity) readInterval() time.Duration {
	return time.Duration(2 / c.ReadsPerSecond * float64(time.Second))
}

// fleetOwner is one tenure over the machines: it moves them between pools and takes them
// down for maintenance.
type fleetOwner struct {
	host    *JobHost
	token   int64
	began   time.Time
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	planner *capacity.Planner

	mu      sync.Mutex
	ordered map[string]*machineOrder
	started map[int64]map[string]bool
	waves   map[int64]*waveState
	// needs holds the needs of the last plan, so that only changes are logged.
	needs    map[string]capacity.Need
	machines []machine.Machine
	listedAt time.Time
	// workers holds the machines of the workers that were listed lately.
	workers map[worker.ID]listedWorker
	// loads holds the loads of the pools at the last plan.
	loads    map[string]*schedule.Load
	loadedAt time.Time
	fenced   bool
	tenure   tenureRecord
	quotas   *quotaDivision
	// statusChanged wakes writeStatuses.
	statusChanged chan struct{}
}

// machineOrder is an order that is being sent, or whose effect is awaited.
type machineOrder struct {
	action capacity.Action
	// decidedAt is when the order was planned, lastSent when it was last sent.
	decidedAt, lastSent time.Time
	// acceptedAt is zero until the order is accepted, which may take many attempts.
	acceptedAt time.Time
}

// waveState holds when a wave was first seen, its status by the last plan and the last one written.
type waveState struct {
	seenAt          time.Time
	status, written string
}

// The statuses of a wave.
const (
	statusRunning = "running"
	statusDone    = "done"
)

func startFleetOwner(h *JobHost, token int64) *fleetOwner {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleetOwner{
		host: h, token: token, began: h.now(), cancel: cancel, planner: capacity.NewPlanner(h.settings.Capacity.Options),
		ordered: map[string]*machineOrder{}, workers: map[worker.ID]listedWorker{}, started: map[int64]map[string]bool{}, waves: map[int64]*waveState{}, needs: map[string]capacity.Need{},
		statusChanged: make(chan struct{}, 1), quotas: newQuotaDivision(token),
	}
	f.tenure = newTenureRecord(f.tenurePartition(), h, token)
	f.loops.Go(func() { f.run(ctx) })
	return f
}

// stop ends the tenure; no order is sent after it returns.
func (f *fleetOwner) stop() {
	f.cancel()
	f.loops.Wait()
}

func (f *fleetOwner) tenurePartition() keyedlog.Partition {
	return keyedlog.Partition{Topic: TopicFleet}
}

// run claims the partition, loads the state that earlier owners left, and then plans until
// ctx ends.
func (f *fleetOwner) run(ctx context.Context) {
	// From here on, the log refuses an earlier owner's records, and thus prevents its new
	// orders, which must be announced in a record first.
	if err := f.tenure.claim(ctx); err != nil {
		f.reacquire()
		return
	}
	newest := newestReader{log: f.host.platform.Log, partition: f.tenurePartition()}
	for ctx.Err() == nil && !f.load(ctx, &newest) {
		wait(ctx, retryPause)
	}
	f.loops.Go(func() { f.writeTenure(ctx) })
	f.loops.Go(func() { f.writeStatuses(ctx) })
	for ctx.Err() == nil {
		f.step(ctx)
		wait(ctx, fleetInterval)
	}
}

func (f *fleetOwner) load(ctx context.Context, newest *newestReader) bool {
	batch, err := newest.read(ctx)
	if err != nil {
		return false
	}
	for _, record := range batch.Records {
		if record.Key == keyTenure {
			f.inherit(record)
			continue
		}
		number, name, ok := strings.Cut(strings.TrimPrefix(record.Key, keyWave), "/")
		wave, err := strconv.ParseInt(number, 10, 64)
		if !ok || err != nil {
			f.host.events.Event("record-unreadable", "topic", TopicFleet, "key", record.Key, "offset", record.Offset)
			continue
		}
		f.markStarted(wave, name)
	}
	f.host.events.Event("fleet-loaded", "token", f.token, "keys", len(batch.Records), "barred", len(f.tenure.formerOrders),
		"waves", len(f.waves), "took", f.host.now().Sub(f.began))
	return true
}

func (f *fleetOwner) markStarted(wave int64, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started[wave] == nil {
		f.started[wave] = map[string]bool{}
	}
	f.started[wave][name] = true
}

// confirmed reports whether this tenure is certainly current: no later owner was seen, and
// the membership was confirmed within its TTL, less confirmSlack.
func (f *fleetOwner) confirmed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.fenced && now.Sub(f.host.keeper.Confirmed()) < f.host.settings.GroupTTL-confirmSlack
}

// confirmSlack is how long before its expiry a membership is no longer relied on.
const confirmSlack = 300 * time.Millisecond

func (f *fleetOwner) step(ctx context.Context) {
	config := f.host.config()
	if config == nil || !f.confirmed(f.host.now()) {
		return
	}
	f.renewTenure(f.host.now())
	// Quotas don't wait for the machine service.
	loads, collected := f.divideQuotas(ctx, config), f.host.now()
	f.listMachines(ctx)
	if len(f.listedMachines()) == 0 {
		return
	}
	if loads == nil || f.host.now().Sub(collected) > fleetInterval {
		loads = f.host.allLoads(ctx, config, 0)
	}
	f.reportGone(ctx, loads)
	view := capacity.View{Now: f.host.now()}
	f.setLoads(loads, view.Now)
	for n := range config.Pools {
		pool := &config.Pools[n]
		view.Pools = append(view.Pools, capacity.Pool{Name: pool.Name, Spare: pool.Spare, Load: loads[pool.Name]})
	}
	f.fillView(&view)
	actions, needs := f.planner.Plan(view)
	f.logNeeds(needs)
	f.carryOut(ctx, actions)
	f.reportWaves(view.Waves)
}

func (f *fleetOwner) setLoads(loads map[string]*schedule.Load, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads, f.loadedAt = loads, at
}

func (f *fleetOwner) listedMachines() []machine.Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines
}

// logNeeds logs the need and serving capacity of each pool where they have changed.
func (f *fleetOwner) logNeeds(needs []capacity.Need) {
	for _, n := range needs {
		if before, ok := f.needs[n.Pool]; !ok || before.Need != n.Need || before.Serving != n.Serving {
			f.host.events.Event("pool-need", "pool", n.Pool, "need", n.Need, "serving", n.Serving, "wanted-cpu", n.DemandCPU)
		}
		f.needs[n.Pool] = n
	}
}
