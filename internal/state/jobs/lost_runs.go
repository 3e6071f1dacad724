package jobs

import "slices"

// MarkFailed adds a failed run of a task and reports whether it was not known before.
func (j *Job) MarkFailed(occurrence, step, index int, run int64) bool {
	t := j.lost(occurrence, step, index)
	if t == nil || slices.Contains(t.failed, run) {
		return false
	}
	t.failed = append(t.failed, run)
	j.taskChanged(occurrence, step, index)
	return true
}

// Failures returns the number of failed runs of a task; 0 once it is done.
func (j *Job) Failures(occurrence, step, index int) int {
	s := j.progress(occurrence, step)
	if s == nil || s.failing[index] == nil {
		return 0
	}
	return len(s.failing[index].failed)
}

// GangFailures returns the number of runs of a gang, whose members share their numbers, of which a
// member has failed.
func (j *Job) GangFailures(occurrence, step int) int {
	runs := map[int64]struct{}{}
	if s := j.progress(occurrence, step); s != nil {
		for _, t := range s.failing {
			for _, run := range t.failed {
				runs[run] = struct{}{}
			}
		}
	}
	return len(runs)
}

// MarkCrashed adds a run that was lost because its host crashed, and reports whether it was
// not known before.
func (j *Job) MarkCrashed(occurrence, step, index int, run int64) bool {
	t := j.lost(occurrence, step, index)
	if t == nil || slices.Contains(t.crashed, run) {
		return false
	}
	t.crashed = append(t.crashed, run)
	j.taskChanged(occurrence, step, index)
	return true
}

// ClearCrashes removes the crashed runs of a task that has worked well since, and reports
// whether there were any.
func (j *Job) ClearCrashes(occurrence, step, index int) bool {
	if j.Crashes(occurrence, step, index) == 0 {
		return false
	}
	s := j.progress(occurrence, step)
	if s.failing[index].crashed = nil; s.failing[index].failed == nil {
		delete(s.failing, index)
	}
	j.taskChanged(occurrence, step, index)
	return true
}

// Crashes returns the number of runs of a task that were lost because their host crashed; 0
// once it is done.
func (j *Job) Crashes(occurrence, step, index int) int {
	s := j.progress(occurrence, step)
	if s == nil || s.failing[index] == nil {
		return 0
	}
	return len(s.failing[index].crashed)
}

// CrashedTask is a task with the number of its runs that were lost because their host crashed.
type CrashedTask struct{ Occurrence, Step, Index, Crashes int }

// CrashedTasks returns the tasks that are not done and under which hosts have crashed.
func (j *Job) CrashedTasks() []CrashedTask {
	var found []CrashedTask
	for number, o := range j.begun {
		for step := range o.steps {
			for index, t := range o.steps[step].failing {
				if len(t.crashed) > 0 {
					found = append(found, CrashedTask{number, step, index, len(t.crashed)})
				}
			}
		}
	}
	return found
}

// AnyRunEnded reports whether a run of any task has been recorded as done or failed, or the
// job has ended.
func (j *Job) AnyRunEnded() bool {
	if j.Ended() || j.done.size > 0 {
		return true
	}
	for _, o := range j.begun {
		for n := range o.steps {
			if o.steps[n].anyRunEnded() {
				return true
			}
		}
	}
	return false
}

func (s *step) anyRunEnded() bool {
	if s.done.size > 0 {
		return true
	}
	for _, t := range s.failing {
		if len(t.failed) > 0 {
			return true
		}
	}
	return false
}
