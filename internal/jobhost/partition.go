package jobhost

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Key prefixes of the records in a partition of TopicJobs.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyCancel   = "cancel/"
	keyIntake   = "intake/"
	// keyRevocation is that of cancels of jobs that were not known.
	keyRevocation = "revocation/"
)

// partition is one tenure of a TopicJobs partition: it runs all pools whose records the
// partition holds.
type partition struct {
	host  *JobHost
	id    keyedlog.Partition
	token int64

	// ctx ends with the tenure.
	ctx    context.Context //nolint:containedctx // Jobs are held and settled by records that are read at any time.
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// loaded is set once all records that existed at the start of the tenure are applied.
	loaded atomic.Bool
	// fencedOnce is set once a later owner was seen.
	fencedOnce atomic.Bool
	recorder   *recorder
	follower   *follower

	mu    sync.Mutex
	pools map[string]*poolRunner
	// taken holds the jobs that the partition has taken.
	taken map[job.ID]takenJob
	// intakes says which queues' new jobs the partition takes. held holds the jobs for which that
	// is not known yet, by queues in settling, and forwarded those that other partitions have.
	intakes   *handover.Table
	held      map[job.ID]*heldJob
	settling  map[string]bool
	forwarded map[job.ID]forwardedJob
	// loading holds the jobs read before the partition was loaded, progress the parts of
	// their encoded progress.
	loading  map[job.ID]*jobs.Job
	progress map[job.ID]map[int][]byte
	// cancelled holds the jobs whose cancel record was read before the job itself, or
	// before the partition was loaded.
	cancelled map[job.ID]struct{}
	revoked   revocations
	// startPool runs a pool's runner until the tenure ends. The lock is held.
	startPool func(*poolRunner)
}

// maxTaskBytes is the size that a part of a job's progress has for each of its tasks: a placement and
// its copies, and the numbers of failed runs.
const maxTaskBytes = 1 << 10

// tasksPerPart returns how many tasks a part of a job's progress covers.
func (h *JobHost) tasksPerPart() int {
	if h.settings.LogLimits.Record == 0 {
		return 0
	}
	return max(1, h.settings.LogLimits.Record/maxTaskBytes)
}

// takenJob is a job that the partition has taken.
type takenJob struct {
	runner *poolRunner
	job    *job.Job
	// sum is a checksum of the record that was read, 0 if it is not known.
	sum uint64
}

// startPartition begins a tenure with its fencing token.
func startPartition(host *JobHost, id keyedlog.Partition, token int64) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		host: host, id: id, token: token, ctx: ctx, cancel: cancel,
		pools: map[string]*poolRunner{}, taken: map[job.ID]takenJob{}, loading: map[job.ID]*jobs.Job{},
		progress: map[job.ID]map[int][]byte{}, cancelled: map[job.ID]struct{}{}, revoked: revocations{},
		held: map[job.ID]*heldJob{}, settling: map[string]bool{}, forwarded: map[job.ID]forwardedJob{},
	}
	p.intakes = handover.NewTable(id.Number, func(pool string) int { return host.partitionOf(pool).Number })
	p.startPool = func(r *poolRunner) {
		if !r.started {
			r.started = true
			r.loops.Go(func() { r.run(ctx) })
		}
	}
	p.recorder = newRecorder(p)
	p.follower = &follower{
		log: host.platform.Log, events: host.events, partition: id, now: host.now,
		apply: p.apply, onLoaded: func() { p.onLoaded(ctx) },
	}
	p.loops.Go(func() {
		// From the claim on, the log refuses delayed appends of earlier owners.
		p.recorder.claim(ctx)
		p.follower.run(ctx)
	})
	return p
}

// onFenced requests a new tenure, once, because a later owner of the partition was seen. Until
// this one has ended, its pools order nothing: the later owner may have recorded what they
// don't know.
func (p *partition) onFenced() {
	if p.fencedOnce.Swap(true) {
		return
	}
	for _, r := range p.runners() {
		r.pool.Fence()
	}
	p.host.reacquire(p)
}

// lookup returns the status of a job that the partition has taken.
func (p *partition) lookup(id job.ID) (intake.Status, bool) {
	p.mu.Lock()
	t, ok := p.taken[id]
	p.mu.Unlock()
	if !ok {
		return intake.Status{}, false
	}
	state, ok := t.runner.pool.State(id)
	return intake.Status{State: state, Organisation: p.host.visibleTo(t.job.Organisation, t.job.QueueAddress)}, ok
}

// loadedRunner returns the runner of a pool, if the partition is loaded and has the pool.
func (p *partition) loadedRunner(pool string) (*poolRunner, bool) {
	if !p.loaded.Load() {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.pools[pool]
	return r, ok
}

// stop ends the tenure; no order is sent after it returns.
func (p *partition) stop() {
	p.cancel()
	p.loops.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runner := range p.pools {
		runner.loops.Wait()
	}
}

// onLoaded hands the loaded jobs to their pools and starts the pools.
func (p *partition) onLoaded(ctx context.Context) {
	if p.loaded.Swap(true) {
		return
	}
	p.loops.Go(func() { p.recorder.run(ctx) })
	p.loops.Go(func() { p.sweep(ctx) })
	p.mu.Lock()
	p.fold()
	p.mu.Unlock()
	p.refresh()
}

// fold applies the loaded progress and cancels to the loaded jobs and adds the jobs to
// their pools. The lock is held.
func (p *partition) fold() {
	for id, state := range p.loading {
		parts, taken := p.progress[id]
		if taken {
			if err := state.ApplyParts(parts); err != nil {
				p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", keyProgress+string(id), "error", err)
			}
		}
		_, cancelled := p.cancelled[id]
		decision, _ := p.intakes.Decide(state.QueueAddress, state.ConfigVersion)
		if !taken && !cancelled && decision != handover.Take {
			p.hold(id, state, 0)
			continue
		}
		p.add(state, 0)
	}
	p.host.events.Event("partition-loaded", "topic", p.id.Topic, "partition", p.id.Number, "token", p.token, "jobs", len(p.loading))
	clear(p.loading)
	clear(p.progress)
}

// runner returns the runner of a pool and creates it on first use. The lock is held.
func (p *partition) runner(pool string) *poolRunner {
	if r, ok := p.pools[pool]; ok {
		return r
	}
	r := &poolRunner{
		host: p.host, wake: make(chan struct{}, 1), signalRecorder: p.recorder.signal, onFenced: p.onFenced, leaseClients: map[worker.ID]*leaseClient{},
		pool: schedule.New(pool, worker.FencingToken(p.token), p.host.limits(), p.host.now(), p.host.events,
			append([]schedule.Option{schedule.WithReports(p.host.reports), schedule.WithEpochs(&p.host.epochs)}, p.host.settings.PoolOptions...)...),
	}
	r.setOrganisations(p.host.config())
	p.pools[pool] = r
	return r
}

// refresh applies the configuration and the reported hosts to the pools.
func (p *partition) refresh() {
	config := p.host.config()
	if config == nil || !p.loaded.Load() {
		return
	}
	now, weights := p.host.now(), weightsOf(config)
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range config.Pools {
		pool := &config.Pools[n]
		if pool.Spare || p.host.partitionOf(pool.Name) != p.id {
			continue
		}
		if _, ok := p.pools[pool.Name]; !ok {
			p.startPool(p.runner(pool.Name))
		}
		p.pools[pool.Name].pool.SetChecksCapacity(pool.ChecksCapacity)
	}
	for name, runner := range p.pools {
		runner.setOrganisations(config)
		runner.pool.SetWeights(weights)
		runner.pool.SetHosts(p.host.hosts.inPool(name), now)
		runner.signal()
	}
}

// weightsOf returns the weights of the configuration's organisations, nil if it has no list of them.
func weightsOf(c *queue.Configuration) map[string]float64 {
	if !c.RequiresKeys {
		return nil
	}
	weights := make(map[string]float64, len(c.Organisations))
	for n := range c.Organisations {
		// Of two organisations of one name, the first counts.
		o := &c.Organisations[n]
		if _, ok := weights[o.Name]; !ok {
			weights[o.Name] = o.Weight
		}
	}
	return weights
}

// sweep periodically removes jobs that ended long ago from the pools and from the log.
func (p *partition) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, sweepInterval)
		var gone []schedule.Forgotten
		p.mu.Lock()
		for _, runner := range p.pools {
			gone = append(gone, runner.pool.Forget(p.host.now())...)
		}
		for _, g := range gone {
			delete(p.taken, g.ID)
		}
		dropped := append(dropRecords(gone), p.revoked.expire(p.host.now().Add(-p.host.limits().EndedJobRetention))...)
		maps.DeleteFunc(p.forwarded, func(_ job.ID, f forwardedJob) bool { return p.host.now().Sub(f.at) > forwardedRetention })
		p.mu.Unlock()
		p.recorder.drop(dropped)
	}
}

// sweepInterval is how often jobs that ended long ago are removed.
const sweepInterval = 10 * time.Second
