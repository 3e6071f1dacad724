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
	fenced   bool
	// recent is when machines were last ordered by this owner.
	recent map[string]time.Time
	// barred are machines that an earlier owner may have ordered, with the time from
	// which they may be ordered here; allFrom is that of all others.
	barred  map[string]time.Time
	allFrom time.Time
	// sequence counts the appends of the tenure's own record.
	sequence int64
}

// machineOrder is an order under way.
type machineOrder struct {
	action   capacity.Action
	sentAt   time.Time
	accepted bool
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
		recent: map[string]time.Time{}, barred: map[string]time.Time{},
	}
	f.allFrom = f.began.Add(h.settings.Capacity.HolderLease)
	f.loops.Go(func() { f.run(ctx) })
	return f
}

// stop ends the tenure, and tells the next owner which machines were ordered last.
func (f *fleetOwner) stop() {
	f.cancel()
	f.loops.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	f.writeTenure(ctx, true)
}

func (f *fleetOwner) partition() keyedlog.Partition { return keyedlog.Partition{Topic: TopicFleet} }

// run plans until ctx ends, once it knows which maintenance earlier owners began.
func (f *fleetOwner) run(ctx context.Context) {
	for ctx.Err() == nil && !f.load(ctx) {
		wait(ctx, retryPause)
	}
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
	f.host.events.Event("fleet-loaded", "token", f.token, "keys", len(batch.Records), "barred", len(f.barred),
		"orders-from", f.allFrom.Sub(f.began))
	return f.writeTenure(ctx, false)
}

func (f *fleetOwner) markBegun(wave int64, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun[wave] == nil {
		f.begun[wave] = map[string]bool{}
	}
	f.begun[wave][name] = true
}

// mayOrder tells whether nobody else can hold the machines: the membership was
// confirmed within its TTL, and an earlier owner's orders have been waited out.
func (f *fleetOwner) mayOrder(now time.Time) bool {
	return f.confirmed(now) && !now.Before(f.allFrom)
}

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
	f.list(ctx)
	machines := f.listed()
	if len(machines) == 0 {
		return
	}
	loads := f.host.allLoads(ctx)
	f.tellGone(ctx, machines, loads)
	if !f.mayOrder(f.host.now()) {
		return
	}
	view := capacity.View{Now: f.host.now()}
	for n := range config.Pools {
		pool := &config.Pools[n]
		view.Pools = append(view.Pools, capacity.Pool{Name: pool.Name, Spare: pool.Spare, Load: loads[pool.Name]})
	}
	f.fill(&view)
	actions, needs := f.planner.Plan(view)
	f.noteNeeds(needs)
	left := f.host.settings.Capacity.ordersAtOnce()
	for _, action := range actions {
		if action.Kind == capacity.Move || action.Kind == capacity.Maintain {
			if left--; left < 0 {
				// The next plan comes before the rate allows more.
				continue
			}
		}
		f.act(ctx, action)
	}
	f.reportWaves(ctx, view.Waves)
}

func (f *fleetOwner) listed() []machine.Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines
}

// tellGone tells the pools' owners which workers that don't answer have ended: those
// that are the worker of no machine.
func (f *fleetOwner) tellGone(ctx context.Context, machines []machine.Machine, loads map[string]*schedule.Load) {
	alive := make(map[worker.ID]struct{}, len(machines))
	for n := range machines {
		alive[machines[n].Worker] = struct{}{}
	}
	for pool, load := range loads {
		for id, h := range load.Hosts {
			if _, ok := alive[id]; !ok && h.Silent && h.Runs > 0 {
				f.host.gone(ctx, pool, id)
			}
		}
	}
}

// fill adds machines, waves and orders to a view.
func (f *fleetOwner) fill(view *capacity.View) {
	waves := f.host.operators.allWaves()
	f.mu.Lock()
	defer f.mu.Unlock()
	view.Machines, view.ListedAt = f.machines, f.listedAt
	view.Ordered = make(map[string]capacity.Order, len(f.ordered))
	for name, from := range f.barred {
		if view.Now.Before(from) {
			view.Ordered[name] = capacity.Order{Action: capacity.Action{Kind: capacity.Barred, Machine: name}, SentAt: f.began}
		}
	}
	for name, o := range f.ordered {
		view.Ordered[name] = capacity.Order{Action: o.action, SentAt: o.sentAt}
	}
	for _, w := range waves {
		state, ok := f.waves[w.Number]
		if !ok {
			state = &waveState{seenAt: view.Now}
			f.waves[w.Number] = state
		}
		begun := make(map[string]bool, len(f.begun[w.Number]))
		for name := range f.begun[w.Number] {
			begun[name] = true
		}
		view.Waves = append(view.Waves, capacity.Wave{Wave: w, SeenAt: state.seenAt, Begun: begun})
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

// noteNeeds logs what pools need and have when it has changed.
func (f *fleetOwner) noteNeeds(needs []capacity.Need) {
	for _, n := range needs {
		if before, ok := f.needs[n.Pool]; !ok || before.Need != n.Need || before.Serving != n.Serving {
			f.host.events.Event("pool-need", "pool", n.Pool, "need", n.Need, "serving", n.Serving, "wanted-cpu", n.WantedCPU)
		}
		f.needs[n.Pool] = n
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
	if !o.accepted {
		return false
	}
	if o.action.Kind == capacity.Move && m.State == machine.Up && m.Pool == o.action.To {
		return true
	}
	if o.action.Kind == capacity.Maintain && m.State == machine.Up && listed.Sub(o.sentAt) > takes {
		return true
	}
	return listed.Sub(o.sentAt) > orderPatience*takes && m.State != machine.Moving && m.State != machine.Maintenance
}

// act carries one action out.
func (f *fleetOwner) act(ctx context.Context, a capacity.Action) {
	if a.Kind == capacity.Cordon || a.Kind == capacity.Lift {
		ok := f.host.cordon(ctx, a.Pool, a.Worker, a.Kind == capacity.Lift)
		f.host.events.Event("host-"+a.Kind.String(), "machine", a.Machine, "host", a.Worker, "pool", a.Pool, "reason", a.Reason, "wave", a.Wave, "done", ok)
		return
	}
	o := &machineOrder{action: a, sentAt: f.host.now()}
	f.mu.Lock()
	f.ordered[a.Machine] = o
	f.recent[a.Machine] = o.sentAt
	f.mu.Unlock()
	f.loops.Go(func() { f.order(ctx, o) })
}

// order sends an order until it is answered; it takes effect only once.
func (f *fleetOwner) order(ctx context.Context, o *machineOrder) {
	for ctx.Err() == nil {
		if !f.mayOrder(f.host.now()) {
			wait(ctx, fleetInterval)
			continue
		}
		outcome, err := f.send(ctx, o.action)
		f.host.events.Event("machine-ordered", "machine", o.action.Machine, "order", o.action.Kind, "pool", o.action.Pool, "to", o.action.To,
			"wave", o.action.Wave, "reason", o.action.Reason, "fence", f.token, "outcome", outcome, "error", err)
		if err == nil && outcome != machine.Limited {
			f.answered(ctx, o, outcome)
			return
		}
		wait(ctx, retryPause)
	}
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
		o.accepted = true
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	delete(f.ordered, o.action.Machine)
	f.listedAt = time.Time{}
	fenced := outcome == machine.Fenced && !f.fenced
	f.fenced = f.fenced || fenced
	f.mu.Unlock()
	if fenced {
		tenure := keyedlog.Partition{Topic: TopicJobs, Number: fleetPartition}
		f.host.spawn(func() { f.host.keeper.Reacquire(tenure, f.token) })
	}
}

// record keeps for later owners that a machine's maintenance has begun. One that is
// lost costs a second call, which changes nothing.
func (f *fleetOwner) record(ctx context.Context, a capacity.Action) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	key := keyWave + strconv.FormatInt(a.Wave, 10) + "/" + a.Machine
	if err := f.host.platform.Log.Append(ctx, f.partition(), []keyedlog.Record{{Key: key, Value: []byte{1}}}, nil); err != nil {
		f.host.events.Event("record-delayed", "key", key, "error", err)
	}
}

// reportWaves writes how waves stand.
func (f *fleetOwner) reportWaves(ctx context.Context, waves []capacity.Wave) {
	for n := range waves {
		w := &waves[n]
		done := w.Done(f.machines)
		state := "running"
		if done {
			state = "done"
		}
		f.mu.Lock()
		written := f.waves[w.Number].written
		f.mu.Unlock()
		if written == state {
			continue
		}
		if f.writeStatus(ctx, w.Number, done) {
			f.mu.Lock()
			f.waves[w.Number].written = state
			f.mu.Unlock()
		}
	}
}

func (f *fleetOwner) writeStatus(ctx context.Context, number int64, done bool) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record, err := f.host.platform.Published.WaveStatus(number, done)
	if err == nil {
		err = f.host.platform.Log.Append(ctx, f.host.platform.Published.Status(), []keyedlog.Record{record}, nil)
	}
	f.host.events.Event("wave-reported", "wave", number, "done", done, "error", err)
	return err == nil
}
