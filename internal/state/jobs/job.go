// Package jobs folds the records of jobs: submissions, progress and cancellations.
// Recorded done and failed tasks are merged in any order; the placements are those of the
// last progress record.
package jobs

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Job is a submission and its recorded progress.
type Job struct {
	*job.Job
	Cancelled bool
	Failed    bool
	// EndedAt is zero until the job has ended.
	EndedAt time.Time

	// Placements are the runs that may be on hosts, as last recorded in the log.
	Placements []Placement

	occurrences map[int]*Occurrence
	done        int

	// tasksPerPart is how many tasks a part of the progress covers, 0 for all. written holds a
	// checksum of each part that may be in the log, 0 if it is to be written again, and parts is one
	// more than the highest part ever.
	tasksPerPart, parts int
	written             map[int]uint64
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

// Occurrence is the progress of one pass through a job's steps.
type Occurrence struct {
	Number int
	Done   bool
	// Steps is empty once the occurrence is done.
	Steps []Step
}

// Step is the progress of a step's tasks in one occurrence.
type Step struct {
	Tasks []Task
	done  int
}

// Task is the recorded progress of a task. What is recorded is never undone, except for
// CrashedRuns.
type Task struct {
	Done bool
	// FailedRuns are the numbers of the runs that have failed.
	FailedRuns []int64
	// CrashedRuns are the numbers of the runs that were lost because their host crashed,
	// since the task last worked well.
	CrashedRuns []int64
}

// New returns a job without progress.
func New(j *job.Job) *Job {
	return &Job{Job: j, occurrences: map[int]*Occurrence{}, written: map[int]uint64{}}
}

// Occurrence returns the progress of an occurrence; number must be below
// OccurrenceCount.
func (j *Job) Occurrence(number int) *Occurrence {
	if o, ok := j.occurrences[number]; ok {
		return o
	}
	o := &Occurrence{Number: number, Steps: make([]Step, len(j.Steps))}
	for n := range o.Steps {
		o.Steps[n].Tasks = make([]Task, j.Steps[n].Tasks)
	}
	j.occurrences[number] = o
	return o
}

// HasTask reports whether the job has a task with these indexes.
func (j *Job) HasTask(occurrence, step, index int) bool {
	return occurrence >= 0 && occurrence < j.OccurrenceCount() && step >= 0 && step < len(j.Steps) &&
		index >= 0 && index < j.Steps[step].Tasks
}

// TaskDone reports whether a task has succeeded.
func (j *Job) TaskDone(occurrence, step, index int) bool {
	o := j.Occurrence(occurrence)
	return o.Done || o.Steps[step].Tasks[index].Done
}

// StepDone reports whether all tasks of a step have succeeded.
func (o *Occurrence) StepDone(step int) bool {
	return o.Done || o.Steps[step].done == len(o.Steps[step].Tasks)
}

// Ready reports whether all steps that a step depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	o := j.Occurrence(occurrence)
	for _, dependency := range j.Steps[step].DependsOn {
		if !o.StepDone(dependency) {
			return false
		}
	}
	return true
}

// MarkDone marks a task as done and reports whether it was not before.
func (j *Job) MarkDone(occurrence, step, index int, now time.Time) bool {
	o := j.Occurrence(occurrence)
	if o.Done || o.Steps[step].Tasks[index].Done {
		return false
	}
	o.Steps[step].Tasks[index].Done = true
	o.Steps[step].done++
	for n := range o.Steps {
		if !o.StepDone(n) {
			return true
		}
	}
	o.Done = true
	o.Steps = nil
	j.done++
	if j.AllDone() {
		j.EndedAt = now
	}
	return true
}

// MarkFailed adds a failed run of a task and reports whether it was not known before.
func (j *Job) MarkFailed(occurrence, step, index int, run int64) bool {
	o := j.Occurrence(occurrence)
	if o.Done {
		return false
	}
	t := &o.Steps[step].Tasks[index]
	for _, known := range t.FailedRuns {
		if known == run {
			return false
		}
	}
	t.FailedRuns = append(t.FailedRuns, run)
	return true
}

// Failures returns the number of failed runs of a task; 0 once its occurrence is done.
func (j *Job) Failures(occurrence, step, index int) int {
	o := j.Occurrence(occurrence)
	if o.Done {
		return 0
	}
	return len(o.Steps[step].Tasks[index].FailedRuns)
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
func (j *Job) AllDone() bool { return j.done == j.OccurrenceCount() }

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

// OpenTasks returns the number of tasks of a step that are not done.
func (o *Occurrence) OpenTasks(step int) int {
	if o.Done {
		return 0
	}
	return len(o.Steps[step].Tasks) - o.Steps[step].done
}
