package jobhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// newFullPartition returns a loaded partition whose only pool has far more to do than it can in time.
func newFullPartition(t *testing.T) *partition {
	t.Helper()
	r := newRunnerTest(t)
	h := r.runner.host
	h.settings.AdmissionControl = true
	h.operators = &operatorsView{}
	h.operators.inForce.Store(access.New(&queue.Configuration{RequiresKeys: true}))
	h.contact.answered(r.now)
	p := &partition{
		host: h, pools: map[string]*poolRunner{"maps": r.runner}, taken: map[job.ID]takenJob{}, forwarded: map[job.ID]forwardedJob{},
		held: map[job.ID]*heldJob{}, loading: map[job.ID]*jobs.Job{}, intakes: handover.NewTable(0, func(string) int { return 0 }),
	}
	p.recorder = &recorder{partition: p, wake: make(chan struct{}, 1)}
	p.loaded.Store(true)
	r.runner.pool.SetWeights(map[string]float64{})
	for n := range 1000 {
		r.runner.pool.AddJob(jobs.New(fullJob(job.ID(fmt.Sprintf("%016d", n)), r.now)))
	}
	return p
}

func fullJob(id job.ID, now time.Time) *job.Job {
	step := job.Step{Tasks: 8, Needs: worker.Resources{CPU: 4000, MemoryMB: 100}, Estimate: time.Second}
	return &job.Job{ID: id, Queue: "tiles", Pool: "maps", Steps: []job.Step{step}, AcceptedAt: now, MaxAttempts: 2, Stretch: 1.6}
}

func jobRecord(t *testing.T, id job.ID, now time.Time) keyedlog.Record {
	t.Helper()
	data, err := fullJob(id, now).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return keyedlog.Record{Key: keyJob + string(id), Value: data}
}

// TestOwnerRefusesOnlyWhatItDoesNotHave guards against a refusal of a job that is kept, or that another
// owner may have.
func TestOwnerRefusesOnlyWhatItDoesNotHave(t *testing.T) {
	const id = "ffffffffffffffff"
	for _, c := range []struct {
		name  string
		want  bool
		setup func(*partition)
	}{
		{"new", false, func(*partition) {}},
		{"taken", true, func(p *partition) { p.taken[id] = takenJob{} }},
		{"held", true, func(p *partition) { p.held[id] = &heldJob{state: &jobs.Job{}} }},
		{"loading", true, func(p *partition) { p.loading[id] = &jobs.Job{} }},
		{"forwarded", true, func(p *partition) { p.forwarded[id] = forwardedJob{} }},
		{"in the recorder's queue", true, func(p *partition) { p.recorder.enqueue(jobRecord(t, id, p.host.now())) }},
		{"taken by the recorder", true, func(p *partition) {
			p.recorder.enqueue(jobRecord(t, id, p.host.now()))
			p.recorder.takeSubmitted()
		}},
		{"partition not loaded", true, func(p *partition) { p.loaded.Store(false) }},
		{"later owner seen", true, func(p *partition) { p.fencedOnce.Store(true) }},
		{"pool fenced", true, func(p *partition) { p.pools["maps"].pool.Fence() }},
		{"pool unknown", true, func(p *partition) { delete(p.pools, "maps") }},
		{"log not in contact", true, func(p *partition) { p.host.contact.answered(time.Time{}.Add(-time.Hour)) }},
		{"admission control off", true, func(p *partition) { p.host.settings.AdmissionControl = false }},
		{"no organisations", true, func(p *partition) { p.host.operators.inForce.Store(access.New(&queue.Configuration{})) }},
	} {
		p := newFullPartition(t)
		record := jobRecord(t, id, p.host.now())
		c.setup(p)
		if _, ok := p.admit(record); ok != c.want {
			t.Errorf("%s: accepted %v; want %v", c.name, ok, c.want)
		}
	}
	p := newFullPartition(t)
	if _, ok := p.admit(keyedlog.Record{Key: keyCancel + id, Value: []byte{1}}); !ok {
		t.Error("a cancel is refused")
	}
	unclaimed := fullJob(id, p.host.now())
	unclaimed.QueueAddress = "tiles.example/"
	data, err := unclaimed.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := p.admit(keyedlog.Record{Key: keyJob + id, Value: data}); !ok {
		t.Error("a job of a queue that the partition has not claimed is refused")
	}
}

// TestRefusedJobIsNotStored has an entry host that owns the pool, and a peer, refuse a job: nothing may
// be queued for the log, and the relayed answer must carry when to retry.
func TestRefusedJobIsNotStored(t *testing.T) {
	p := newFullPartition(t)
	record := jobRecord(t, "ffffffffffffffff", p.host.now())
	o := p.submit(context.Background(), record)
	if o.verdict != verdict.NotRun || o.retryAfter <= 0 {
		t.Errorf("outcome %+v; want a refusal with the time of a retry", o)
	}
	if p.recorder.has(record.Key) {
		t.Error("the refused job is in the recorder's queue")
	}
	e := verdict.FromError(rejection(o, false))
	if e.Verdict != verdict.NotRun || e.Cause.Status() != 429 || e.RetryAfter != o.retryAfter {
		t.Errorf("error %+v with status %d; want one that has not run, 429, and the time of a retry", e, e.Cause.Status())
	}
	if e := verdict.FromError(rejection(o, true)); e.Verdict != verdict.MayHaveRun {
		t.Errorf("verdict %s after an attempt without an answer; want %s", e.Verdict, verdict.MayHaveRun)
	}
	o.retryAfter = o.retryAfter.Truncate(time.Millisecond)
	if got := outcomeOfReply(relayReply(o)); got != o {
		t.Errorf("relayed outcome %+v; want %+v", got, o)
	}
}
