package schedule

import (
	"iter"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// occurrence is an open occurrence of a job: one of which tasks have been placed or a placement
// check has been asked for, until it is done and none of its runs is left. The occurrence of a job
// without a schedule is open from the start. Others that are due have no state, see upcoming.
type occurrence struct {
	number int
	// steps holds the steps by number, nil for those that are not kept.
	steps []*step
	// runs counts the attached runs.
	runs int
}

// openBegun opens the occurrences with recorded progress, and that of a job without a schedule.
func (e *jobEntry) openBegun() {
	for number := range e.Begun() {
		e.open(number)
	}
	if !e.isScheduled() {
		e.open(0)
	}
}

// step returns a step of an open occurrence and keeps it there.
func (e *jobEntry) step(o *occurrence, number int) *step {
	if o.steps[number] == nil {
		o.steps[number] = e.newStep(o.number, number)
	}
	return o.steps[number]
}

// newStep returns a step without state, which is not kept.
func (e *jobEntry) newStep(occurrence, number int) *step {
	return &step{job: e, def: &e.Steps[number], occurrence: occurrence, number: number}
}

// openTask returns a task and keeps it, or nil if the job has none of this name.
func (e *jobEntry) openTask(name worker.TaskName) *task {
	if !e.HasTask(name.Occurrence, name.Step, name.Index) {
		return nil
	}
	t := e.step(e.open(name.Occurrence), name.Step).task(name.Index)
	t.keep()
	return t
}

// attach adds a run to its task, whose step is kept, and to its job.
func (e *jobEntry) attach(r *run) {
	r.task.runs = append(r.task.runs, r)
	e.runs = append(e.runs, r)
	e.occurrences[r.task.step.occurrence].runs++
}

// detach undoes attach.
func (e *jobEntry) detach(r *run) {
	isRun := func(other *run) bool { return other == r }
	r.task.runs = slices.DeleteFunc(r.task.runs, isRun)
	e.runs = slices.DeleteFunc(e.runs, isRun)
	e.occurrences[r.task.step.occurrence].runs--
}

// position returns where a task is in tasks, or would be.
func (s *step) position(index int) (int, bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, index int) int { return t.index - index })
}

// task returns a task, which is not kept if it has no state.
func (s *step) task(index int) *task {
	if n, ok := s.position(index); ok {
		return s.tasks[n]
	}
	return &task{step: s, index: index}
}

// keep keeps the task in its step, and that in its occurrence.
func (t *task) keep() {
	if n, ok := t.step.position(t.index); !ok {
		t.step.tasks = slices.Insert(t.step.tasks, n, t)
		t.step.job.noteActive(t.step)
	}
}

// kept reports whether the task is kept in its step.
func (t *task) kept() bool {
	n, ok := t.step.position(t.index)
	return ok && t.step.tasks[n] == t
}

// forget drops a task that is done and has no runs, and its occurrence if that is so for all tasks.
func (t *task) forget() {
	s, e := t.step, t.step.job
	if len(t.runs) > 0 || !t.done() {
		return
	}
	if n, ok := s.position(t.index); ok && s.tasks[n] == t {
		s.tasks = slices.Delete(s.tasks, n, n+1)
	}
	e.noteStateless(s)
	o, ok := e.occurrences[s.occurrence]
	if !ok || o.runs > 0 || !e.OccurrenceDone(s.occurrence) {
		return
	}
	for _, s := range o.steps {
		if s != nil && s.unadvised() {
			e.unadvised--
		}
	}
	delete(e.occurrences, s.occurrence)
}

// fresh yields the tasks that are not done and have no state. They are kept only once they are
// placed.
func (s *step) fresh() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for index := 0; ; index++ {
			index = s.job.NextOpenTask(s.occurrence, s.number, index)
			if index >= s.def.Tasks {
				return
			}
			if _, kept := s.position(index); !kept && !yield(&task{step: s, index: index}) {
				return
			}
		}
	}
}

// freshTasks returns how many tasks fresh yields.
func (s *step) freshTasks() int {
	n := s.job.OpenTasks(s.occurrence, s.number)
	for _, t := range s.tasks {
		if !t.done() {
			n--
		}
	}
	return n
}

// startable yields the tasks that may be started now, those with state first. A gang is to be
// started whole.
func (s *step) startable(now time.Time) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.tasks {
			if t.startable(now) && !t.needsTrial() && !yield(t) {
				return
			}
		}
		s.fresh()(yield)
	}
}

// hasStartable reports whether a step that is not done has tasks to start: some, or of a gang all.
func (s *step) hasStartable(now time.Time) bool {
	if len(s.tasks) == 0 {
		return true
	}
	for _, t := range s.tasks {
		if ok := t.startable(now) && !t.needsTrial(); ok != s.def.Gang {
			return ok
		}
	}
	return s.def.Gang || s.freshTasks() > 0
}
