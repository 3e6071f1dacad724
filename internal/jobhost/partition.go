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

// The prefixes of the keys in a partition of jobs.
const (
	keyJob      = "job/"
	keyProgress = "progress/"
	keyCancel   = "cancel/"
)

// partition is one tenure of a partition of jobs: all pools whose records it has.
type partition struct {
	host  *JobHost
	id    keyedlog.Partition
	token int64

	cancel context.CancelFunc
	loops  sync.WaitGroup
	// loaded is set once all records that were there have been taken.
	loaded atomic.Bool
	// lostOnce is set once a later owner was seen.
	lostOnce atomic.Bool
	recorder *recorder
	follower *follower

	mu    sync.Mutex
	pools map[string]*poolRunner
	// poolOf finds the pool of a job.
	poolOf map[job.ID]string
	// loading has the jobs that were read before the partition was loaded, progress
	// what had ended of them.
	loading  map[job.ID]*jobs.Job
	progress map[job.ID][]byte
	// cancelled has the cancels whose job has not been read yet.
	cancelled map[job.ID]struct{}
	// startPool starts a pool for this tenure.
	startPool func(*poolRunner)
}

// startPartition begins a tenure.
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
		take: p.take, ready: func() { p.ready(ctx) },
	}
	p.loops.Go(func() {
		// Records of an earlier owner that are still on their way are refused from here on.
		p.recorder.claim(ctx)
		p.follower.run(ctx)
	})
	return p
}

// lost begins a new tenure, since a later owner was seen to have had the partition.
func (p *partition) lost() {
	if p.lostOnce.Swap(true) {
		return
	}
	p.host.lostTo(p)
}

// owns tells whether the partition is loaded and gives the runner of a pool.
func (p *partition) owns(pool string) (*poolRunner, bool) {
	if !p.loaded.Load() {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.pools[pool]
	return r, ok
}

// stop ends the tenure; when it returns, nothing more is ordered.
func (p *partition) stop() {
	p.cancel()
	p.loops.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, runner := range p.pools {
		runner.loops.Wait()
	}
}

// ready starts the pools.
func (p *partition) ready(ctx context.Context) {
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

// fold hands the jobs that were loaded to their pools, with what has ended of them.
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

// runner gives the runner of a pool, made on first use.
func (p *partition) runner(pool string) *poolRunner {
	if r, ok := p.pools[pool]; ok {
		return r
	}
	r := &poolRunner{
		host: p.host, wake: make(chan struct{}, 1), record: p.recorder.signal, fenced: p.lost, talking: map[worker.ID]*conversation{},
		pool: schedule.New(pool, worker.Fence(p.token), p.host.limits(), p.host.now(), p.host.events),
	}
	p.pools[pool] = r
	return r
}

// refresh brings the pools in line with the configuration and the live hosts.
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
		p.pools[pool.Name].pool.SetGuarded(pool.Guarded)
	}
	for name, runner := range p.pools {
		runner.pool.SetHosts(p.host.hosts.of(name), now)
		runner.signal()
	}
}

// take folds records; those before a job's own wait for it.
func (p *partition) take(records []keyedlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, record := range records {
		prefix, id, ok := strings.Cut(record.Key, "/")
		if !ok || len(record.Value) == 0 {
			continue
		}
		p.takeRecord(prefix+"/", job.ID(id), record)
	}
}

func (p *partition) takeRecord(prefix string, id job.ID, record keyedlog.Record) {
	switch prefix {
	case keyJob:
		p.takeJob(id, record)
	case keyProgress:
		// While the tenure lasts, nobody else writes progress.
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

// takeJob adds a job; one that is known already changes nothing.
func (p *partition) takeJob(id job.ID, record keyedlog.Record) {
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
		// What has ended may be among the records still to come.
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
		// A queue's jobs stay in the pool that it had when they were accepted.
		p.startPool(p.runner(submitted.Pool))
	}
	runner := p.runner(submitted.Pool)
	runner.pool.AddJob(state)
	runner.signal()
}

// sweep drops jobs that ended long ago, here and in the log.
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

// sweepInterval is how often ended jobs are looked through.
const sweepInterval = 10 * time.Second
