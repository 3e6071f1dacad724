// Package schedule decides which task of a pool's jobs runs on which host. It takes
// events with their time and returns orders; it never blocks and makes no calls.
package schedule

import (
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Events logs one structured line for each decision.
type Events interface {
	Event(name string, pairs ...any)
}

// Reports tells whether the hosts' reports are current.
type Reports interface {
	Current(now time.Time) bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithReports sets what tells whether the hosts' reports are current; without it they always
// are.
func WithReports(reports Reports) Option { return func(p *Pool) { p.reports = reports } }

// WithEpochs sets the epochs of the fences. Pools that may have the same fencing token, one after the
// other, must share them.
func WithEpochs(epochs *Epochs) Option { return func(p *Pool) { p.epochs = epochs } }

// Pool schedules the jobs of one pool for one tenure, under its fencing token.
type Pool struct {
	name   string
	limits Limits
	token  worker.FencingToken
	events Events
	// reports is nil if the hosts' reports are always current.
	reports Reports

	mu          sync.Mutex
	tenureStart time.Time
	// inheritedExpiry is the time by which every run that an earlier owner started on an
	// unresponsive host must have ended: MaxUnconfirmed, within which that owner stops acting,
	// plus the longest lease after the tenure begins. It may have taken the worker for its former life
	// and sent a lease on the clock of that.
	inheritedExpiry time.Time
	// formerOrdersUntil is until when an order of an earlier owner may be carried out.
	formerOrdersUntil time.Time
	// checksCapacity is false also while it is not known.
	checksCapacity bool
	jobs           map[job.ID]*jobEntry
	// open holds the jobs that have not ended; ended ones are removed when it is walked. dirty
	// holds the jobs with changes that are not recorded, unacknowledged the hosts with ended
	// runs that are not.
	open           map[job.ID]*jobEntry
	dirty          map[job.ID]*jobEntry
	unacknowledged map[worker.ID]*host
	reservations   map[*task]reservation
	// suspects holds the tasks under which a host has crashed.
	suspects map[*task]struct{}
	// hasGivenUp is set until the next plan when a job was given up.
	hasGivenUp bool
	hosts      map[worker.ID]*host
	// organisations holds what the owners of the jobs use and may use.
	organisations organisations
	// departed holds what is known of workers that have left the pool.
	departed map[worker.ID]departed
	epochs   *Epochs
	// fenced is set once a host has accepted the fencing token of a later owner.
	fenced    bool
	estimates estimates
	// shares is nil if the configuration has no organisations.
	shares *fairShares
	// plans counts the plans, and the changes from a configuration without organisations.
	plans int64
	work  Work
	// neighbours is nil unless interference is sampled.
	neighbours *neighbours
	// ignoreSuspicion is set while so many hosts are suspected that they don't differ by it.
	ignoreSuspicion bool
	// blockedAt is when it was last logged that tasks wait for room.
	blockedAt time.Time
}

// New creates the scheduler of a pool for a tenure that begins at now.
func New(name string, token worker.FencingToken, limits Limits, now time.Time, events Events, opts ...Option) *Pool {
	p := &Pool{
		name: name, limits: limits, token: token, events: events, tenureStart: now,
		inheritedExpiry:   now.Add(limits.MaxUnconfirmed + limits.maxGrantedDuration()),
		formerOrdersUntil: now.Add(limits.MaxUnconfirmed + lateOrderTime),
		jobs:              map[job.ID]*jobEntry{}, hosts: map[worker.ID]*host{},
		open: map[job.ID]*jobEntry{}, dirty: map[job.ID]*jobEntry{}, unacknowledged: map[worker.ID]*host{},
		reservations: map[*task]reservation{}, suspects: map[*task]struct{}{},
		departed: map[worker.ID]departed{}, epochs: &Epochs{}, estimates: estimates{}, organisations: newOrganisations(),
	}
	for _, apply := range opts {
		apply(p)
	}
	return p
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.name }

// SetChecksCapacity sets whether the pool's workers refuse tasks that don't fit.
func (p *Pool) SetChecksCapacity(checksCapacity bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checksCapacity = checksCapacity
}

// Fenced reports whether a host has accepted the fencing token of a later owner.
func (p *Pool) Fenced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fenced
}

// AddJob adds a job that is recorded in the log; adding it again has no effect. A
// final state that the job brings along counts as recorded.
func (p *Pool) AddJob(j *jobs.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.jobs[j.ID]; ok {
		return
	}
	e := &jobEntry{
		Job: j, criticalPaths: j.CriticalPaths(), recordedState: j.FinalState(), occurrences: map[int]*occurrence{},
		started: j.AnyRunEnded() || len(j.Placements) > 0, begun: j.AnyRunEnded(), organisation: p.organisations.get(j.Organisation),
	}
	p.jobs[j.ID] = e
	if !e.Ended() {
		p.open[j.ID] = e
		e.openBegun()
	}
	for _, placed := range j.Placements {
		p.inherit(e, placed)
	}
	j.Placements = nil
	p.inheritCrashes(e, p.tenureStart)
	if p.shares != nil {
		p.addToShare(e)
	}
}

// CancelJob cancels a job; the cancel must be recorded in the log already.
func (p *Pool) CancelJob(id job.ID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[id]
	if !ok || e.Ended() {
		return
	}
	e.Cancel(now)
	e.recordedState = job.Cancelled
	p.events.Event("job-cancelled", "job", id, "pool", p.name, "runs", len(e.runs))
}

// State returns the state of a job as callers may see it: a final one only once it is recorded.
func (p *Pool) State(id job.ID) (job.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[id]
	if !ok {
		return "", false
	}
	return e.visibleState(), true
}

// visibleState returns the state that callers may see.
func (e *jobEntry) visibleState() job.State {
	switch {
	case e.recordedState != "":
		return e.recordedState
	case e.started:
		return job.Running
	default:
		return job.Queued
	}
}

// openJobs returns the jobs that have not ended.
func (p *Pool) openJobs() map[job.ID]*jobEntry {
	for id, e := range p.open {
		if e.Ended() {
			delete(p.open, id)
		}
	}
	return p.open
}

// markDirty marks a job as changed since its last record.
func (p *Pool) markDirty(e *jobEntry) { p.dirty[e.ID] = e }

// Holds reports whether the pool has any job of a queue, ended ones included.
func (p *Pool) Holds(queue string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.jobs {
		if e.QueueAddress == queue {
			return true
		}
	}
	return false
}

// RecordAgain has the progress of a job recorded, even if there is none.
func (p *Pool) RecordAgain(id job.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.jobs[id]; ok {
		p.markDirty(e)
	}
}

// Waiting returns how many jobs of a queue, by its address, have not ended and have no task that a host is
// known to have begun. A task that is only placed counts as waiting: its host may refuse it or
// be cut off.
func (p *Pool) Waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.openJobs() {
		if e.QueueAddress == queue && !e.begun {
			n++
		}
	}
	return n
}

// Forgotten is a job that was dropped, with the numbers of the parts of its recorded progress.
type Forgotten struct {
	ID    job.ID
	Parts []int
}

// Forget drops jobs that ended more than Limits.EndedJobRetention ago and have no runs left,
// and returns them.
func (p *Pool) Forget(now time.Time) []Forgotten {
	p.mu.Lock()
	defer p.mu.Unlock()
	var forgotten []Forgotten
	for id, e := range p.jobs {
		if e.recordedState != "" && len(e.runs) == 0 && now.Sub(e.EndedAt) > p.limits.EndedJobRetention {
			delete(p.jobs, id)
			delete(p.open, id)
			delete(p.dirty, id)
			forgotten = append(forgotten, Forgotten{id, e.Parts()})
		}
	}
	p.forgetShares(forgotten)
	return forgotten
}
