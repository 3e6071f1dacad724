// Package jobs folds the records of jobs: what was submitted, what has ended and
// what was cancelled. The order of the records does not matter.
package jobs

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Job is a submission and what has ended of it.
type Job struct {
	*job.Job
	Cancelled bool
	Failed    bool
	// EndedAt is zero while something may still run.
	EndedAt time.Time

	// Placements are the runs that may be on hosts, as last recorded.
	Placements []Placement

	occurrences map[int]*Occurrence
	done        int
}

// Placement is a run and its host, recorded before the run is started.
type Placement struct {
	Task worker.TaskName
	Run  int64
	Host worker.ID
}

// Occurrence is one run through a job's steps.
type Occurrence struct {
	Number int
	Done   bool
	// Steps is empty once the occurrence is done.
	Steps []Step
}

// Step is the state of a step's tasks in one occurrence.
type Step struct {
	Tasks []Task
	done  int
}

// Task is what is known for good of a task.
type Task struct {
	Done bool
	// FailedRuns are the numbers of the runs that ended failed.
	FailedRuns []int64
}

// New begins with nothing ended.
func New(j *job.Job) *Job {
	return &Job{Job: j, occurrences: map[int]*Occurrence{}}
}

// Occurrence gives the state of one occurrence; it must be below Runs.
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

// Has tells whether the job has such a task.
func (j *Job) Has(occurrence, step, index int) bool {
	return occurrence >= 0 && occurrence < j.Runs() && step >= 0 && step < len(j.Steps) &&
		index >= 0 && index < j.Steps[step].Tasks
}

// TaskDone tells whether a task has ended well.
func (j *Job) TaskDone(occurrence, step, index int) bool {
	o := j.Occurrence(occurrence)
	return o.Done || o.Steps[step].Tasks[index].Done
}

// StepDone tells whether all tasks of a step have ended well.
func (o *Occurrence) StepDone(step int) bool {
	return o.Done || o.Steps[step].done == len(o.Steps[step].Tasks)
}

// Ready tells whether a step's predecessors are done.
func (j *Job) Ready(occurrence, step int) bool {
	o := j.Occurrence(occurrence)
	for _, earlier := range j.Steps[step].DependsOn {
		if !o.StepDone(earlier) {
			return false
		}
	}
	return true
}

// MarkDone notes that a task has ended well; it tells whether that is news.
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

// MarkFailed notes a failed run; it tells whether that is news.
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

// Failures counts the failed runs of a task.
func (j *Job) Failures(occurrence, step, index int) int {
	o := j.Occurrence(occurrence)
	if o.Done {
		return 0
	}
	return len(o.Steps[step].Tasks[index].FailedRuns)
}

// Fail ends the job because a task has failed too often.
func (j *Job) Fail(now time.Time) {
	j.Failed = true
	j.EndedAt = now
}

// Cancel ends the job unless it has ended already.
func (j *Job) Cancel(now time.Time) {
	if j.Ended() {
		return
	}
	j.Cancelled = true
	j.EndedAt = now
}

// AllDone tells whether all occurrences are done.
func (j *Job) AllDone() bool { return j.done == j.Runs() }

// Ended tells whether nothing of the job has to run any more.
func (j *Job) Ended() bool { return j.Cancelled || j.Failed || j.AllDone() }

// Final gives the state of a job that has ended, or nothing.
func (j *Job) Final() job.State {
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

// Open counts the tasks of a step that are not done.
func (o *Occurrence) Open(step int) int {
	if o.Done {
		return 0
	}
	return len(o.Steps[step].Tasks) - o.Steps[step].done
}
