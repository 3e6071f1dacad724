package jobs

import (
	"slices"
)

// MarkCrashed adds a run that was lost because its host crashed, and reports whether it was
// not known before.
func (j *Job) MarkCrashed(occurrence, step, index int, run int64) bool {
	t := j.task(occurrence, step, index)
	if t == nil || slices.Contains(t.CrashedRuns, run) {
		return false
	}
	t.CrashedRuns = append(t.CrashedRuns, run)
	return true
}

// ClearCrashes removes the crashed runs of a task that has worked well since, and reports
// whether there were any.
func (j *Job) ClearCrashes(occurrence, step, index int) bool {
	t := j.task(occurrence, step, index)
	if t == nil || len(t.CrashedRuns) == 0 {
		return false
	}
	t.CrashedRuns = nil
	return true
}

// Crashes returns the number of runs of a task that were lost because their host crashed; 0
// once its occurrence is done.
func (j *Job) Crashes(occurrence, step, index int) int {
	t := j.task(occurrence, step, index)
	if t == nil {
		return 0
	}
	return len(t.CrashedRuns)
}

// task returns the progress of a task, or nil once its occurrence is done.
func (j *Job) task(occurrence, step, index int) *Task {
	o := j.Occurrence(occurrence)
	if o.Done {
		return nil
	}
	return &o.Steps[step].Tasks[index]
}

// CrashedTask is a task with the number of its runs that were lost because their host crashed.
type CrashedTask struct{ Occurrence, Step, Index, Crashes int }

// CrashedTasks returns the tasks that are not done and under which hosts have crashed.
func (j *Job) CrashedTasks() []CrashedTask {
	var found []CrashedTask
	for number, o := range j.occurrences {
		for step := range o.Steps {
			for index := range o.Steps[step].Tasks {
				t := &o.Steps[step].Tasks[index]
				if !t.Done && len(t.CrashedRuns) > 0 {
					found = append(found, CrashedTask{number, step, index, len(t.CrashedRuns)})
				}
			}
		}
	}
	return found
}
