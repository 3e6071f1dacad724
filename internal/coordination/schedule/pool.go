// Package schedule decides which task of a pool's jobs runs on which host. An
// event and the time go in, orders come out; nothing here waits or calls out.
package schedule

import (
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Events takes one line for each decision.
type Events interface {
	Event(name string, pairs ...any)
}

// Pool schedules one pool under one fencing token.
type Pool struct {
	name   string
	limits Limits
	fence  worker.Fence
	events Events

	mu sync.Mutex
	// began is when the tenure began.
	began time.Time
	// resolvedBy is when everything that an earlier owner started on hosts that
	// don't answer has ended: it stops acting, and then the longest lease runs out.
	resolvedBy time.Time
	guarded    bool
	jobs       map[job.ID]*entry
	hosts      map[worker.ID]*host
	// fenced is set once a host has obeyed a later owner.
	fenced  bool
	learned estimates
}

// New makes the scheduler of a pool for a tenure that began at now.
func New(name string, fence worker.Fence, limits Limits, now time.Time, events Events) *Pool {
	return &Pool{
		name: name, limits: limits, fence: fence, events: events, began: now,
		resolvedBy: now.Add(limits.MaxUnconfirmed + limits.leaseSpan()),
		guarded:    true,
		jobs:       map[job.ID]*entry{}, hosts: map[worker.ID]*host{},
		learned: estimates{},
	}
}

// Name is the pool's name.
func (p *Pool) Name() string { return p.name }

// SetGuarded tells whether the pool's workers refuse what does not fit them.
func (p *Pool) SetGuarded(guarded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guarded = guarded
}

// Fenced tells whether a host has obeyed a later owner.
func (p *Pool) Fenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fenced
}

// AddJob takes a recorded job. The same job again changes nothing. What has ended
// already is recorded state.
func (p *Pool) AddJob(j *jobs.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.jobs[j.ID]; ok {
		return
	}
	e := &entry{
		Job: j, chain: j.Chain(), recorded: j.Final(), steps: map[stepKey]*step{},
		begun: j.Begun() || len(j.Placements) > 0,
	}
	p.jobs[j.ID] = e
	for _, placed := range j.Placements {
		p.inherit(e, placed)
	}
	j.Placements = nil
}

// inherit takes over a run that an earlier owner has recorded. Its task is not
// started again before its host has told of it, or can't run it any more.
func (p *Pool) inherit(e *entry, placed jobs.Placement) {
	h, ok := p.hosts[placed.Host]
	if !ok {
		h = newHost(worker.Report{ID: placed.Host, Pool: p.name}, p.began)
		h.expiry = p.resolvedBy
		p.hosts[placed.Host] = h
	}
	t := e.task(placed.Task)
	if t == nil || e.Ended() {
		return
	}
	p.attach(&run{
		task: t, name: placed.Task, number: placed.Run, host: h, needs: t.step.def.Reserved(), state: inherited,
		adopted: true, percent: fullSpeed, paceSent: fullSpeed,
	})
	if t.step.def.Gang {
		t.step.gangRun = max(t.step.gangRun, placed.Run)
	}
}

// CancelJob takes a recorded cancel.
func (p *Pool) CancelJob(id job.ID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[id]
	if !ok || e.Ended() {
		return
	}
	e.Cancel(now)
	e.recorded = job.Cancelled
	p.events.Event("job-cancelled", "job", id, "pool", p.name, "runs", e.liveRuns)
}

// State tells what a caller may be told of a job: an end only once it is recorded.
func (p *Pool) State(id job.ID) (job.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return e.shown(), true
}

// shown is the state that callers may be told.
func (e *entry) shown() job.State {
	switch {
	case e.recorded != "":
		return e.recorded
	case e.begun:
		return job.Running
	default:
		return job.Queued
	}
}

// Waiting counts the jobs of a queue of which no task has started.
func (p *Pool) Waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.jobs {
		if e.Queue == queue && !e.begun && !e.Ended() {
			n++
		}
	}
	return n
}

// Forget drops jobs that ended long ago and gives their IDs.
func (p *Pool) Forget(now time.Time) []job.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var gone []job.ID
	for id, e := range p.jobs {
		if e.recorded != "" && e.liveRuns == 0 && now.Sub(e.EndedAt) > p.limits.KeepEnded {
			delete(p.jobs, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// SetHosts takes the reports of all live hosts of the pool.
func (p *Pool) SetHosts(reports []worker.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[worker.ID]struct{}, len(reports))
	for _, report := range reports {
		seen[report.ID] = struct{}{}
		p.setHost(report, now)
	}
	for id, h := range p.hosts {
		if _, ok := seen[id]; ok {
			continue
		}
		if h.listed {
			h.listed = false
			p.events.Event("host-unlisted", "host", id, "pool", p.name, "runs", len(h.runs))
		}
		if len(h.runs) == 0 && !now.Before(h.expiry) {
			delete(p.hosts, id)
		}
	}
}

func (p *Pool) setHost(report worker.Report, now time.Time) {
	h, ok := p.hosts[report.ID]
	if !ok {
		h = newHost(report, now)
		h.expiry = p.resolvedBy
		p.hosts[report.ID] = h
		p.events.Event("host-listed", "host", report.ID, "pool", p.name, "address", report.Address,
			"rack", report.Rack, "draining", report.Draining)
	}
	if report.Draining && !h.report.Draining && ok {
		p.events.Event("host-draining", "host", report.ID, "pool", p.name, "runs", len(h.runs), "remaining", report.Remaining)
	}
	if report.Address != h.report.Address {
		h.confirmed = false
	}
	h.report, h.listed = report, true
}

// Gone takes that a worker has ended, from the list of machines: nothing that it
// ran runs any more. One that answers was not meant.
func (p *Pool) Gone(id worker.ID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || h.confirmed {
		return
	}
	p.events.Event("host-gone", "host", id, "pool", p.name, "runs", len(h.runs), "heard", h.heardAt)
	h.expiry = now
	p.lapse(h, now)
}

// Hosts lists the hosts to hold a conversation with.
func (p *Pool) Hosts() []worker.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]worker.Target, 0, len(p.hosts))
	for id, h := range p.hosts {
		if h.report.Address.IsValid() {
			targets = append(targets, worker.Target{ID: id, Address: h.report.Address})
		}
	}
	return targets
}
