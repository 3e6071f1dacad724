package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// retryPause delays the next start of a task after a failed run, so that one that always
// fails does not take capacity from others.
const retryPause = 50 * time.Millisecond

func jobID(name worker.TaskName) job.ID { return job.ID(name.Job) }

// applyEndedRun applies one ended run from a host's list; one that was received before is
// ignored.
func (p *Pool) applyEndedRun(h *host, end *worker.EndedRun, now time.Time) {
	if end.Number <= h.received {
		return
	}
	h.received = end.Number
	p.unacknowledged[h.report.ID] = h
	key := runKey{end.Task, end.Run}
	delete(h.unknownRuns, key)
	delete(h.unanswered, key)
	r := h.runs[key]
	e, ok := p.jobs[jobID(end.Task)]
	if !ok {
		return
	}
	t := e.openTask(end.Task)
	if t == nil {
		return
	}
	defer t.forget()
	e.started, e.begun = true, true
	t.lastRun = max(t.lastRun, end.Run)
	if !t.done() {
		t.saved(end.Run, end.Checkpoint)
	}
	p.events.Event("run-ended", "task", end.Task, "run", end.Run, "host", h.report.ID, "how", end.Outcome, "known", r != nil)
	switch end.Outcome {
	case worker.OutcomeDone:
		p.taskDone(h, t, r, now)
	case worker.OutcomeFailed:
		p.taskFailed(h, t, r, end, now)
	}
	if r != nil {
		p.release(r, now, end.Outcome)
	}
	if t.step.def.Gang && end.Outcome != worker.OutcomeDone && r != nil && r.number == t.step.gangRun {
		p.stopGang(t.step, "gang-broken")
	}
}

// taskDone marks a task as done after a successful run. A gang's members are all done
// once one of them is.
func (p *Pool) taskDone(h *host, t *task, r *run, now time.Time) {
	e := t.step.job
	h.health.succeeded()
	if r != nil && !r.startedAt.IsZero() {
		p.learn(r, now)
	}
	if t.step.def.LongRunning || e.Ended() {
		return
	}
	members := t.step.def.Tasks
	if !t.step.def.Gang {
		members = 1
		for _, other := range t.runs {
			if other != r {
				p.stop(other, "copy-done")
			}
		}
	}
	for n := range members {
		index := t.index
		if t.step.def.Gang {
			index = n
		}
		if e.MarkDone(t.step.occurrence, t.step.number, index, now) {
			p.markDirty(e)
		}
	}
	e.noteDone(t.step)
	if e.AllDone() {
		p.events.Event("job-done", "job", e.ID, "pool", p.name, "after", now.Sub(e.AcceptedAt),
			"objective", e.objectiveSpan(), "tasks-stopped", len(e.runs))
		if e.share != nil && e.Occurrences == 0 && now.After(e.valueEnd(0)) {
			e.share.tooLate++
		}
	}
}

// learn learns from the time of a successful run.
func (p *Pool) learn(r *run, now time.Time) {
	p.doneAfterHang(r, now)
	if def := r.task.step.def; !r.adopted && !r.resumed && !def.LongRunning {
		p.estimates.learn(r.task.step.job.Queue, def.Estimate, now.Sub(r.startedAt))
	}
}

// taskFailed counts a failed run; at the maximum number of attempts the job fails.
func (p *Pool) taskFailed(h *host, t *task, r *run, end *worker.EndedRun, now time.Time) {
	e := t.step.job
	if r != nil && r.proven() {
		h.health.succeeded()
	} else {
		h.health.failed(now, end.Task.Job)
	}
	t.avoidHost = h.report.ID
	t.notBefore = now.Add(retryPause)
	if t.step.def.LongRunning || e.Ended() || t.done() {
		return
	}
	if !e.MarkFailed(t.step.occurrence, t.step.number, t.index, end.Run) {
		return
	}
	p.markDirty(e)
	if p.failures(t) >= e.MaxAttempts {
		e.Fail(now)
		p.events.Event("job-failed", "job", e.ID, "pool", p.name, "task", end.Task, "failures", p.failures(t),
			"max-attempts", e.MaxAttempts, "host", h.report.ID)
	}
}

// failures returns how many runs of a task have failed. For a gang, it counts the shared
// run numbers with a failed member.
func (p *Pool) failures(t *task) int {
	e := t.step.job
	if !t.step.def.Gang {
		return e.Failures(t.step.occurrence, t.step.number, t.index)
	}
	return e.GangFailures(t.step.occurrence, t.step.number)
}

// attach adds a run to its host, task and job.
func (p *Pool) attach(r *run) {
	r.host.add(r)
	r.task.keep()
	r.task.lastRun = max(r.task.lastRun, r.number)
	r.task.step.job.attach(r)
	p.organisations.attached(r)
	if f := r.task.step.job.share; f != nil {
		f.used = f.used.Plus(r.needs)
		p.shares.activate(r.task.step.job)
	}
}

// release detaches a run that is certainly not on its host any more.
func (p *Pool) release(r *run, now time.Time, outcome worker.Outcome) {
	if r.host.runs[r.key()] != r {
		return
	}
	r.host.remove(r)
	t := r.task
	if until, mayBegin := r.mayBeginLate(); mayBegin && r.sentAt.Before(r.host.incarnationAt) {
		t.lateStartUntil = later(t.lateStartUntil, until)
	}
	t.step.job.detach(r)
	p.organisations.released(r)
	if f := t.step.job.share; f != nil {
		f.used = f.used.Minus(r.needs)
	}
	if !t.step.job.Ended() {
		// The job is recorded again, without this placement.
		p.markDirty(t.step.job)
	}
	if t.step.def.LongRunning {
		t.downSince = now
	}
	if outcome == worker.OutcomeLeaseExpired {
		p.events.Event("run-lapsed", "task", r.name, "run", r.number, "host", r.host.report.ID, "heard", r.host.heardAt)
		p.stopGangOf(r, "gang-lapsed")
	}
	t.forget()
}

// stop marks a run for stopping; the order goes out with the next plan.
func (p *Pool) stop(r *run, reason string) {
	if r.state == stateStopping {
		return
	}
	r.state = stateStopping
	r.stopReason = reason
	r.stopSentAt = time.Time{}
	r.stopAckedAt = time.Time{}
}

// stopGangOf stops the gang of a run whole if the run is part of its current one.
func (p *Pool) stopGangOf(r *run, reason string) {
	if s := r.task.step; s.def.Gang && r.number == s.gangRun {
		p.stopGang(s, reason)
	}
}

// stopGang stops all members of a gang's current run.
func (p *Pool) stopGang(s *step, reason string) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			p.stop(r, reason)
		}
	}
}

// observe records what a host's list shows of a run: its usage and its checkpoint.
func (p *Pool) observe(r *run, row *worker.ActiveRun, now time.Time) {
	if row.Usage != worker.UsageUnknown {
		r.usage = row.Usage
	}
	saved := row.Checkpoint != "" && row.Checkpoint != r.checkpoint
	if saved {
		r.checkpoint = row.Checkpoint
		r.task.saved(r.number, row.Checkpoint)
	}
	switch needs := r.task.step.def.Needs.CPU; {
	case saved || (row.Usage > 0 && float64(row.Usage) >= workShare*float64(needs)):
		p.showedWork(r, now)
		r.idleSince = time.Time{}
	case row.Usage != 0:
		r.idleSince = time.Time{}
	case r.idleSince.IsZero():
		r.idleSince = now
	}
}
