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
)

const (
	// fleetInterval is how often capacity is planned; demand changes within seconds.
	fleetInterval = 250 * time.Millisecond
	// machinesInterval is how often machines are listed while nothing is ordered.
	machinesInterval = time.Second
	// machineTimeout bounds one call of the machine service.
	machineTimeout = 2 * time.Second
	// orderPatience times the time that an order takes is how long its effect is
	// awaited before the machine may be ordered again.
	orderPatience = 3
	// keyWave begins the key of a machine whose maintenance has begun in a wave.
	keyWave = "wave/"
)

// Capacity steers how many machines each pool gets.
type Capacity struct {
	Options capacity.Options
	// HolderLease is how long an earlier owner's orders are waited out.
	HolderLease time.Duration
	// OrdersPerSecond and ReadsPerSecond are what the service of machines takes from
	// all entry hosts.
	OrdersPerSecond, ReadsPerSecond float64
}

// ordersAtOnce is how many orders fit into the time between two plans.
func (c *Capacity) ordersAtOnce() int {
	return max(1, int(c.OrdersPerSecond*fleetInterval.Seconds()))
}

// readInterval leaves half of the rate to the pages of a longer list.
func (c *Capacity) readInterval() time.Duration {
	return time.Duration(2 / c.ReadsPerSecond * float64(time.Second))
}

// fleetOwner is one tenure over machines: it moves them between pools and takes
// them down for maintenance.
type fleetOwner struct {
	host    *JobHost
	token   int64
	began   time.Time
	cancel  context.CancelFunc
	loops   sync.WaitGroup
	planner *capacity.Planner

	mu      sync.Mutex
	ordered map[string]*machineOrder
	begun   map[int64]map[string]bool
	waves   map[int64]*waveState
	// needs are those of the last plan, for the log.
	needs    map[string]capacity.Need
	machines []machine.Machine
	listedAt time.Time
	// loads are the pools' loads by which the last plan was made.
	loads    map[string]*schedule.Load
	loadedAt time.Time
	fenced   bool
	tenure   tenureRecord
}

// machineOrder is an order under way.
type machineOrder struct {
	action capacity.Action
	// sentAt is when it was decided, lastSent when it was last sent.
	sentAt, lastSent time.Time
	// acceptedAt is zero until the order is accepted, which may take many tries.
	acceptedAt time.Time
}

// waveState is when a wave was seen and what was written of it.
type waveState struct {
	seenAt  time.Time
	written string
}

func startFleetOwner(h *JobHost, token int64) *fleetOwner {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleetOwner{
		host: h, token: token, began: h.now(), cancel: cancel, planner: capacity.NewPlanner(h.settings.Capacity.Options),
		ordered: map[string]*machineOrder{}, begun: map[int64]map[string]bool{}, waves: map[int64]*waveState{}, needs: map[string]capacity.Need{},
	}
	f.tenure = newTenureRecord(f.partition(), h, token)
	f.loops.Go(func() { f.run(ctx) })
	return f
}

// stop ends the tenure; when it returns, nothing more is ordered.
func (f *fleetOwner) stop() {
	f.cancel()
	f.loops.Wait()
}

func (f *fleetOwner) partition() keyedlog.Partition { return keyedlog.Partition{Topic: TopicFleet} }

// run plans until ctx ends, once it knows what earlier owners did.
func (f *fleetOwner) run(ctx context.Context) {
	// An earlier owner's record is refused from here on, and so are its orders.
	if err := f.tenure.claim(ctx); err != nil {
		f.lost()
		return
	}
	for ctx.Err() == nil && !f.load(ctx) {
		wait(ctx, retryPause)
	}
	f.loops.Go(func() { f.writeTenure(ctx) })
	for ctx.Err() == nil {
		f.step(ctx)
		wait(ctx, fleetInterval)
	}
}

func (f *fleetOwner) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	batch, err := f.host.platform.Log.Newest(ctx, f.partition())
	if err != nil {
		return false
	}
	for _, record := range batch.Records {
		if record.Key == keyTenure {
			f.succeed(record)
			continue
		}
		number, name, ok := strings.Cut(strings.TrimPrefix(record.Key, keyWave), "/")
		wave, err := strconv.ParseInt(number, 10, 64)
		if !ok || err != nil {
			f.host.events.Event("record-unreadable", "topic", TopicFleet, "key", record.Key, "offset", record.Offset)
			continue
		}
		f.markBegun(wave, name)
	}
	f.host.events.Event("fleet-loaded", "token", f.token, "keys", len(batch.Records), "barred", len(f.tenure.barred),
		"waves", len(f.waves), "took", f.host.now().Sub(f.began))
	return true
}

func (f *fleetOwner) markBegun(wave int64, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun[wave] == nil {
		f.begun[wave] = map[string]bool{}
	}
	f.begun[wave][name] = true
}

// confirmed tells whether nobody else can hold the machines: the membership was
// confirmed within its TTL.
func (f *fleetOwner) confirmed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.fenced && now.Sub(f.host.keeper.Confirmed()) < f.host.settings.GroupTTL-confirmSlack
}

// confirmSlack is how long before its end a membership is not relied on any more.
const confirmSlack = 300 * time.Millisecond

func (f *fleetOwner) step(ctx context.Context) {
	config := f.host.config()
	if config == nil || !f.confirmed(f.host.now()) {
		return
	}
	f.renewTenure(f.host.now())
	f.list(ctx)
	if len(f.listed()) == 0 {
		return
	}
	loads := f.host.allLoads(ctx)
	f.tellGone(ctx, loads)
	view := capacity.View{Now: f.host.now()}
	f.noteLoads(loads, view.Now)
	for n := range config.Pools {
		pool := &config.Pools[n]
		view.Pools = append(view.Pools, capacity.Pool{Name: pool.Name, Spare: pool.Spare, Load: loads[pool.Name]})
	}
	f.fill(&view)
	actions, needs := f.planner.Plan(view)
	f.noteNeeds(needs)
	f.carryOut(ctx, actions)
	f.reportWaves(ctx, view.Waves)
}

func (f *fleetOwner) noteLoads(loads map[string]*schedule.Load, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads, f.loadedAt = loads, at
}

func (f *fleetOwner) listed() []machine.Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines
}

// noteNeeds logs what pools need and have when it has changed.
func (f *fleetOwner) noteNeeds(needs []capacity.Need) {
	for _, n := range needs {
		if before, ok := f.needs[n.Pool]; !ok || before.Need != n.Need || before.Serving != n.Serving {
			f.host.events.Event("pool-need", "pool", n.Pool, "need", n.Need, "serving", n.Serving, "wanted-cpu", n.WantedCPU)
		}
		f.needs[n.Pool] = n
	}
}
