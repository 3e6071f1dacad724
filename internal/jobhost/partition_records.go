package jobhost

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

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
	case keyRevocation:
		p.applyRevocation(id, record)
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
	first, known := p.known(id)
	sum := xxhash.Sum64(record.Value)
	if known && first.sum == sum {
		return
	}
	submitted, err := job.Unmarshal(record.Value)
	if err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key,
			"offset", record.Offset, "error", err)
		return
	}
	if known {
		p.restoreJob(first.job, submitted)
		return
	}
	p.host.versions.require(submitted.ConfigVersion, id)
	state := jobs.New(submitted)
	if !p.loaded.Load() {
		// The job's progress and cancel may be among the records still to be read.
		p.loading[id] = state
		return
	}
	if decision, _ := p.intakes.Decide(submitted.QueueAddress, submitted.ConfigVersion); decision != handover.Take {
		p.hold(id, state, sum)
		return
	}
	p.take(state, sum)
}

// take adds a new job to its pool. The lock is held.
func (p *partition) take(state *jobs.Job, sum uint64) {
	pairs := []any{"job", state.ID, "pool", state.Pool, "queue", state.Queue, "config", state.ConfigVersion, "age", p.host.now().Sub(state.AcceptedAt)}
	if state.Organisation != "" {
		pairs = append(pairs, "organisation", state.Organisation)
	}
	p.host.events.Event("job-taken", pairs...)
	p.add(state, sum)
}

// add adds a job to its pool, in which it stays even if the configuration has its queue elsewhere
// or the pool no longer. The lock is held.
func (p *partition) add(state *jobs.Job, sum uint64) {
	id := state.ID
	state.SplitProgress(p.host.tasksPerPart())
	runner := p.runner(state.Pool)
	p.taken[id] = takenJob{runner: runner, job: state.Job, sum: sum}
	delete(p.forwarded, id)
	if _, ok := p.cancelled[id]; ok {
		state.Cancel(p.host.now())
		delete(p.cancelled, id)
	}
	p.revoke(state)
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
