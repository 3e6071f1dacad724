package jobhost

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
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
	keyIntake   = "intake/"
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
	// sum is a checksum of its record, 0 if it can't be encoded.
	sum uint64
}

func recordSum(j *job.Job) uint64 {
	data, err := j.Marshal()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// startPartition begins a tenure with its fencing token.
func startPartition(host *JobHost, id keyedlog.Partition, token int64) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		host: host, id: id, token: token, ctx: ctx, cancel: cancel,
		pools: map[string]*poolRunner{}, taken: map[job.ID]takenJob{}, loading: map[job.ID]*jobs.Job{},
		progress: map[job.ID]map[int][]byte{}, cancelled: map[job.ID]struct{}{},
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

// lookup returns the state of a job that the partition has taken.
func (p *partition) lookup(id job.ID) (job.State, bool) {
	p.mu.Lock()
	t, ok := p.taken[id]
	p.mu.Unlock()
	if !ok {
		return "", false
	}
	return t.runner.pool.State(id)
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
			p.hold(id, state)
			continue
		}
		p.take(state)
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
		if len(record.Value) > 0 {
			p.applyRecord(record)
		}
	}
}

func (p *partition) applyRecord(record keyedlog.Record) {
	prefix, id, part := parseKey(record.Key)
	switch prefix {
	case keyJob:
		p.applyJob(id, record)
	case keyProgress:
		// After loading, only this tenure writes progress.
		if !p.loaded.Load() {
			if p.progress[id] == nil {
				p.progress[id] = map[int][]byte{}
			}
			p.progress[id][part] = record.Value
		}
	case keyCancel:
		p.applyCancel(id)
	case keyIntake:
		p.applyIntake(record)
	default:
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key, "offset", record.Offset)
	}
}

// applyCancel cancels a job. The lock is held.
func (p *partition) applyCancel(id job.ID) {
	if t, ok := p.taken[id]; ok {
		t.runner.pool.CancelJob(id, p.host.now())
		t.runner.signal()
		return
	}
	if f, ok := p.forwarded[id]; ok {
		p.cancelForwarded(id, f.partition)
		return
	}
	p.cancelled[id] = struct{}{}
}

// applyJob adds a job and ignores one that is already known. The lock is held.
func (p *partition) applyJob(id job.ID, record keyedlog.Record) {
	t, taken := p.taken[id]
	if p.waits(id) || (taken && t.sum == xxhash.Sum64(record.Value)) {
		return
	}
	submitted, err := job.Unmarshal(record.Value)
	if err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key,
			"offset", record.Offset, "error", err)
		return
	}
	if taken {
		p.restoreJob(t, submitted)
		return
	}
	state := jobs.New(submitted)
	if !p.loaded.Load() {
		// The job's progress and cancel may be among the records still to be read.
		p.loading[id] = state
		return
	}
	if decision, _ := p.intakes.Decide(submitted.QueueAddress, submitted.ConfigVersion); decision != handover.Take {
		p.hold(id, state)
		return
	}
	p.take(state)
}

// waits reports whether it is not known yet if the partition takes a job that it has read. The
// lock is held.
func (p *partition) waits(id job.ID) bool {
	_, held := p.held[id]
	_, loading := p.loading[id]
	return held || loading
}

// restoreJob records the job that was taken again if the record of a repeat, which replaces it in
// the log, differs in what runs where: a later owner knows the newest record only. The lock is held.
func (p *partition) restoreJob(t takenJob, repeated *job.Job) {
	if t.job.SameWork(repeated) {
		return
	}
	data, err := t.job.Marshal()
	p.host.events.Event("job-repeated", "job", t.job.ID, "partition", p.id.Number, "pool", t.job.Pool, "repeat-pool", repeated.Pool,
		"config", t.job.ConfigVersion, "repeat-config", repeated.ConfigVersion, "error", err)
	if err == nil {
		p.recorder.enqueue(keyedlog.Record{Key: keyJob + string(t.job.ID), Value: data})
	}
}

// take adds a job to its pool, in which it stays even if the configuration has its queue elsewhere
// or the pool no longer. The lock is held.
func (p *partition) take(state *jobs.Job) {
	id := state.ID
	state.SplitProgress(p.host.tasksPerPart())
	runner := p.runner(state.Pool)
	p.taken[id] = takenJob{runner: runner, job: state.Job, sum: recordSum(state.Job)}
	delete(p.forwarded, id)
	if _, ok := p.cancelled[id]; ok {
		state.Cancel(p.host.now())
		delete(p.cancelled, id)
	}
	p.host.events.Event("job-taken", "job", id, "pool", state.Pool, "queue", state.Queue, "config", state.ConfigVersion,
		"age", p.host.now().Sub(state.AcceptedAt))
	runner.pool.AddJob(state)
	p.startPool(runner)
	runner.signal()
}

// discard drops a job whose record the log refuses: its caller is told that it was not accepted.
func (p *partition) discard(id job.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, ok := p.held[id]; ok {
		delete(p.held, id)
		close(h.settled)
	}
	if t, ok := p.taken[id]; ok {
		t.runner.pool.CancelJob(id, p.host.now())
	}
}

// fail ends a job of whose progress the log refuses a record.
func (p *partition) fail(id job.ID) {
	p.mu.Lock()
	t, ok := p.taken[id]
	p.mu.Unlock()
	if ok {
		t.runner.pool.Refused(id, p.host.now())
	}
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
		maps.DeleteFunc(p.forwarded, func(_ job.ID, f forwardedJob) bool { return p.host.now().Sub(f.at) > forwardedRetention })
		p.mu.Unlock()
		p.recorder.drop(gone)
	}
}

// sweepInterval is how often jobs that ended long ago are removed.
const sweepInterval = 10 * time.Second
