// Package jobs folds the records of jobs: submissions, progress and cancellations.
// Recorded done and failed tasks are merged in any order; the placements are those of the
// last progress record.
package jobs

import (
	"iter"
	"maps"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Job is a submission and its recorded progress. It takes memory for the tasks that have progress
// and are not done in turn, however many occurrences and tasks the submission asks for.
type Job struct {
	*job.Job

	Cancelled bool
	Failed    bool
	// EndedAt is zero until the job has ended.
	EndedAt time.Time
	// Placements are the runs that may be on hosts, as last recorded in the log.
	Placements []Placement

	// begun holds the occurrences that have progress and are not done.
	begun map[int]*occurrence
	done  indexSet
	parts progressParts
}

// Placement is a run and its host. It is recorded before the run is started.
type Placement struct {
	Task worker.TaskName
	Run  int64
	Host worker.ID
	// Incarnation is that of the host's worker, 0 if it was not known.
	Incarnation worker.Incarnation
	// PlacedAt is the reading of its clock when the run was placed, 0 if it was not known.
	PlacedAt time.Duration
}

// occurrence is the progress of one pass through a job's steps.
type occurrence struct{ steps []step }

// step is the progress of a step's tasks in one occurrence.
type step struct {
	done indexSet
	// failing holds the lost runs of tasks that are not done.
	failing map[int]*lostRuns
}

// lostRuns are the numbers of a task's runs that did not succeed.
type lostRuns struct {
	failed []int64
	// crashed are those that were lost because their host crashed, since the task last worked well.
	crashed []int64
}

// New returns a job without progress.
func New(j *job.Job) *Job {
	return &Job{Job: j, begun: map[int]*occurrence{}, parts: newProgressParts()}
}

// begin returns the progress of an occurrence that is not done; number must be below
// OccurrenceCount.
func (j *Job) begin(number int) *occurrence {
	o, ok := j.begun[number]
	if !ok {
		o = &occurrence{steps: make([]step, len(j.Steps))}
		j.begun[number] = o
	}
	return o
}

// progress returns the progress of a step, or nil if its occurrence has none or is done.
func (j *Job) progress(occurrence, number int) *step {
	o, ok := j.begun[occurrence]
	if !ok {
		return nil
	}
	return &o.steps[number]
}

// HasTask reports whether the job has a task with these indexes.
func (j *Job) HasTask(occurrence, step, index int) bool {
	return occurrence >= 0 && occurrence < j.OccurrenceCount() && step >= 0 && step < len(j.Steps) &&
		index >= 0 && index < j.Steps[step].Tasks
}

// Begun yields the occurrences that have progress and are not done, in no order.
func (j *Job) Begun() iter.Seq[int] { return maps.Keys(j.begun) }

// OccurrenceDone reports whether all tasks of an occurrence have succeeded.
func (j *Job) OccurrenceDone(number int) bool { return j.done.has(number) }

// NextOpen returns the first occurrence from number on that is not done; it may be
// OccurrenceCount.
func (j *Job) NextOpen(number int) int { return j.done.next(number) }

// DoneWithin returns how many occurrences from first on and below end are done.
func (j *Job) DoneWithin(first, end int) int { return j.done.count(span{first, end}) }

// TaskDone reports whether a task has succeeded.
func (j *Job) TaskDone(occurrence, step, index int) bool {
	s := j.progress(occurrence, step)
	return (s != nil && s.done.has(index)) || j.OccurrenceDone(occurrence)
}

// NextOpenTask returns the first task of a step from index on that has not succeeded; it may be
// the number of the step's tasks.
func (j *Job) NextOpenTask(occurrence, step, index int) int {
	if j.OccurrenceDone(occurrence) {
		return j.Steps[step].Tasks
	}
	if s := j.progress(occurrence, step); s != nil {
		return s.done.next(index)
	}
	return index
}

// OpenTasks returns the number of tasks of a step that are not done.
func (j *Job) OpenTasks(occurrence, step int) int {
	switch s := j.progress(occurrence, step); {
	case s != nil:
		return j.Steps[step].Tasks - s.done.size
	case j.OccurrenceDone(occurrence):
		return 0
	default:
		return j.Steps[step].Tasks
	}
}

// StepDone reports whether all tasks of a step have succeeded.
func (j *Job) StepDone(occurrence, step int) bool { return j.OpenTasks(occurrence, step) == 0 }

// Ready reports whether all steps that a step depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, dependency := range j.Steps[step].DependsOn {
		if !j.StepDone(occurrence, dependency) {
			return false
		}
	}
	return true
}

// MarkDone marks a task as done and reports whether it was not before.
func (j *Job) MarkDone(occurrence, step, index int, now time.Time) bool {
	if j.OccurrenceDone(occurrence) {
		return false
	}
	o := j.begin(occurrence)
	s := &o.steps[step]
	if !s.done.add(index) {
		return false
	}
	delete(s.failing, index)
	j.taskChanged(occurrence, step, index)
	for number := range j.Steps {
		if !j.StepDone(occurrence, number) {
			return true
		}
	}
	j.markOccurrenceDone(occurrence, now)
	return true
}

// markOccurrenceDone marks an occurrence as done that may have progress.
func (j *Job) markOccurrenceDone(number int, now time.Time) {
	if j.OccurrenceDone(number) {
		return
	}
	j.occurrenceChanged(number)
	delete(j.begun, number)
	j.done.add(number)
	if j.AllDone() {
		j.EndedAt = now
	}
}

// lost returns the lost runs of a task, or nil if it is done.
func (j *Job) lost(occurrence, step, index int) *lostRuns {
	if j.TaskDone(occurrence, step, index) {
		return nil
	}
	s := &j.begin(occurrence).steps[step]
	t, ok := s.failing[index]
	if !ok {
		if s.failing == nil {
			s.failing = map[int]*lostRuns{}
		}
		t = &lostRuns{}
		s.failing[index] = t
	}
	return t
}

// Fail ends the job as failed, because one of its tasks has failed too often.
func (j *Job) Fail(now time.Time) {
	j.Failed = true
	j.EndedAt = now
}

// Cancel ends the job as cancelled unless it has already ended.
func (j *Job) Cancel(now time.Time) {
	if j.Ended() {
		return
	}
	j.Cancelled = true
	j.EndedAt = now
}

// AllDone reports whether all occurrences are done.
func (j *Job) AllDone() bool { return j.done.size == j.OccurrenceCount() }

// Ended reports whether the job is done, failed or cancelled.
func (j *Job) Ended() bool { return j.Cancelled || j.Failed || j.AllDone() }

// FinalState returns the state of a job that has ended, and "" before.
func (j *Job) FinalState() job.State {
	switch {
	case j.AllDone():
		return job.Done
	case j.Failed:
		return job.Failed
	case j.Cancelled:
		return job.Cancelled
	default:
		return ""
	}
}
