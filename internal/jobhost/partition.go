package jobhost

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Key prefixes of the records in a partition of TopicJobs.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyCancel   = "cancel/"
)

// partition is one tenure of a TopicJobs partition: it runs all pools whose records the
// partition holds.
type partition struct {
	host  *JobHost
	id    keyedlog.Partition
	token int64

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
	// poolOf maps each known job to its pool.
	poolOf map[job.ID]string
	// loading holds the jobs read before the partition was loaded, progress their
	// encoded progress records.
	loading  map[job.ID]*jobs.Job
	progress map[job.ID][]byte
	// cancelled holds the jobs whose cancel record was read before the job itself, or
	// before the partition was loaded.
	cancelled map[job.ID]struct{}
	// startPool runs a pool's runner until the tenure ends.
	startPool func(*poolRunner)
}

// startPartition begins a tenure with its fencing token.
func startPartition(host *JobHost, id keyedlog.Partition, token int64) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		host: host, id: id, token: token, cancel: cancel,
		pools: map[string]*poolRunner{}, poolOf: map[job.ID]string{}, loading: map[job.ID]*jobs.Job{},
		progress: map[job.ID][]byte{}, cancelled: map[job.ID]struct{}{},
	}
	p.startPool = func(r *poolRunner) { r.loops.Go(func() { r.run(ctx) }) }
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
	for _, runner := range p.pools {
		p.startPool(runner)
	}
	p.mu.Unlock()
	p.refresh()
}

// fold applies the loaded progress and cancels to the loaded jobs and adds the jobs to
// their pools. The lock is held.
func (p *partition) fold() {
	now := p.host.now()
	for id, state := range p.loading {
		if data, ok := p.progress[id]; ok {
			if err := state.ApplyProgress(data); err != nil {
				p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", keyProgress+string(id), "error", err)
			}
		}
		if _, ok := p.cancelled[id]; ok {
			state.Cancel(now)
		}
		p.runner(state.Pool).pool.AddJob(state)
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
		pool: schedule.New(pool, worker.FencingToken(p.token), p.host.limits(), p.host.now(), p.host.events, schedule.WithReports(p.host.reports)),
	}
	p.pools[pool] = r
	return r
}

// refresh applies the configuration and the reported hosts to the pools.
func (p *partition) refresh() {
	config := p.host.config()
	if config == nil || !p.loaded.Load() {
		return
	}
	now := p.host.now()
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
		runner.pool.SetHosts(p.host.hosts.inPool(name), now)
		runner.signal()
	}
}

// apply applies records of the partition. Cancels that precede their job are kept until
// the job is read.
func (p *partition) apply(records []keyedlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range records {
		prefix, id, ok := strings.Cut(record.Key, "/")
		if !ok || len(record.Value) == 0 {
			continue
		}
		p.applyRecord(prefix+"/", job.ID(id), record)
	}
}

func (p *partition) applyRecord(prefix string, id job.ID, record keyedlog.Record) {
	switch prefix {
	case keyJob:
		p.applyJob(id, record)
	case keyProgress:
		// After loading, only this tenure writes progress.
		if !p.loaded.Load() {
			p.progress[id] = record.Value
		}
	case keyCancel:
		if pool, ok := p.poolOf[id]; ok && p.loaded.Load() {
			p.pools[pool].pool.CancelJob(id, p.host.now())
			p.pools[pool].signal()
			return
		}
		p.cancelled[id] = struct{}{}
	default:
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key, "offset", record.Offset)
	}
}

// applyJob adds a job and ignores one that is already known.
func (p *partition) applyJob(id job.ID, record keyedlog.Record) {
	if _, ok := p.poolOf[id]; ok {
		return
	}
	submitted, err := job.Unmarshal(record.Value)
	if err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key,
			"offset", record.Offset, "error", err)
		return
	}
	state := jobs.New(submitted)
	p.poolOf[id] = submitted.Pool
	if !p.loaded.Load() {
		// The job's progress and cancel may be among the records still to be read.
		p.loading[id] = state
		return
	}
	if _, ok := p.cancelled[id]; ok {
		state.Cancel(p.host.now())
		delete(p.cancelled, id)
	}
	p.host.events.Event("job-taken", "job", id, "pool", submitted.Pool, "queue", submitted.Queue, "offset", record.Offset,
		"age", p.host.now().Sub(submitted.AcceptedAt))
	if _, ok := p.pools[submitted.Pool]; !ok {
		// A job stays in the pool that its queue had when the job was accepted, even if
		// the configuration no longer has that pool.
		p.startPool(p.runner(submitted.Pool))
	}
	runner := p.runner(submitted.Pool)
	runner.pool.AddJob(state)
	runner.signal()
}

// sweep periodically removes jobs that ended long ago from the pools and from the log.
func (p *partition) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, sweepInterval)
		var gone []job.ID
		p.mu.Lock()
		for _, runner := range p.pools {
			gone = append(gone, runner.pool.Forget(p.host.now())...)
		}
		for _, id := range gone {
			delete(p.poolOf, id)
		}
		p.mu.Unlock()
		p.recorder.drop(gone)
	}
}

// sweepInterval is how often jobs that ended long ago are removed.
const sweepInterval = 10 * time.Second
