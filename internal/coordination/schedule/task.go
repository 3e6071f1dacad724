package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// entry is a job in its pool.
type entry struct {
	*jobs.Job
	chain []time.Duration
	// begun is set once a task has been started, here or by an earlier owner.
	begun bool
	// dirty is set while something that ended is not recorded.
	dirty bool
	// recorded is the final state as the log has it, or empty.
	recorded job.State
	steps    map[stepKey]*step
	// open is the first occurrence that may not be done.
	open int
	// liveRuns counts the runs on hosts, those being stopped included.
	liveRuns int
}

type stepKey struct{ occurrence, number int }

// step is a step of one occurrence, with its runs.
type step struct {
	entry      *entry
	def        *job.Step
	occurrence int
	number     int
	tasks      []*task
	// gangRun is the run number that all members of a gang share.
	gangRun int64
	advice  *advice
}

// task is one task with the runs that it may have on hosts.
type task struct {
	step  *step
	index int
	runs  []*run
	// lastRun is the highest run number known; the next is higher.
	lastRun    int64
	checkpoint string
	// notBefore delays the next start after a failed order.
	notBefore time.Time
	// avoid is the host on which the last run failed.
	avoid worker.ID
	// downSince is when a long-running task was last ended or not yet at work.
	downSince time.Time
}

// runState tells what is known of a run.
type runState int

const (
	// recording: the placement is being recorded; nothing has been sent.
	recording runState = iota
	// inherited: an earlier owner recorded it; its host has not been heard from.
	inherited
	// sending: the start is on its way.
	sending
	// unsure: the start got no answer and may yet take effect.
	unsure
	// on: the host has it.
	on
	// stopping: a stop has been ordered.
	stopping
)

// run is one start of a task on a host.
type run struct {
	task   *task
	name   worker.TaskName
	number int64
	host   *host
	needs  worker.Resources
	state  runState
	// sentAt is when the start was ordered, onAt when it was known to be there.
	sentAt time.Time
	onAt   time.Time
	// stopSentAt and stopAckedAt are zero until then.
	stopSentAt  time.Time
	stopAckedAt time.Time
	stopReason  string
	checkpoint  string
	// unsent is set until the start is sent.
	unsent bool
	// doubted is set when the start got no answer and the run has not been seen.
	doubted bool
	// resumed is set when it began from a checkpoint, adopted when an earlier owner
	// started it; their times tell nothing about the task.
	resumed, adopted bool
	percent          int
	gauge            int64
	paceSent         int
	// stillSince is since when it has used no processor time; zero while it does.
	stillSince time.Time
}

func (t *task) name() worker.TaskName {
	return worker.TaskName{
		Job: string(t.step.entry.ID), Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index,
	}
}

func (t *task) done() bool {
	return t.step.entry.TaskDone(t.step.occurrence, t.step.number, t.index)
}

// working counts the runs that are not being stopped.
func (t *task) working() int {
	n := 0
	for _, r := range t.runs {
		if r.state != stopping {
			n++
		}
	}
	return n
}

// waiting tells whether the task needs a start and may get one now.
func (t *task) waiting(now time.Time) bool {
	if t.done() || now.Before(t.notBefore) {
		return false
	}
	return len(t.runs) == 0 || t.deserted(now)
}

// deserted tells whether a task that may run as copies has only one run, on a host
// that does not answer.
func (t *task) deserted(now time.Time) bool {
	if !t.step.def.Speculative || t.step.def.Gang || len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	return !r.unsent && !r.host.confirmed && now.Sub(r.host.heardAt) > desertedAfter
}

// fullSpeed is the pace of a run that is not slowed down, in per cent.
const fullSpeed = 100

// step gives the runtime state of a step, made on first use.
func (e *entry) step(occurrence, number int) *step {
	key := stepKey{occurrence, number}
	if s, ok := e.steps[key]; ok {
		return s
	}
	s := &step{entry: e, def: &e.Steps[number], occurrence: occurrence, number: number}
	s.tasks = make([]*task, s.def.Tasks)
	for n := range s.tasks {
		s.tasks[n] = &task{step: s, index: n}
	}
	e.steps[key] = s
	return s
}

func (e *entry) task(name worker.TaskName) *task {
	if !e.Has(name.Occurrence, name.Step, name.Index) {
		return nil
	}
	return e.step(name.Occurrence, name.Step).tasks[name.Index]
}

// objective is when an occurrence has to be done to be on time.
func (e *entry) objective(occurrence int) time.Time {
	return e.DueAt(occurrence).Add(e.objectiveSpan())
}

func (e *entry) objectiveSpan() time.Duration {
	longest := time.Duration(0)
	for _, c := range e.chain {
		longest = max(longest, c)
	}
	return time.Duration(e.Stretch*float64(longest)) + e.LatencyTarget
}
