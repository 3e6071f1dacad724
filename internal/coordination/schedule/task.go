package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// jobEntry is a job of the pool with the runtime state of its steps.
type jobEntry struct {
	*jobs.Job
	// criticalPaths holds for each step the longest chain of estimates from it on.
	criticalPaths []time.Duration
	// started is set once a task has been placed, by this owner or an earlier one; begun once
	// a host is known to have run one.
	started, begun bool
	// organisation is nil for a job without one.
	organisation *organisation
	// recordedState is the final state that is recorded in the log, or empty.
	recordedState job.State
	// occurrences holds those that are open: see occurrence.
	occurrences map[int]*occurrence
	openSteps   openSteps
	// unadvised counts the steps of which the placement check has not answered any query.
	unadvised int
	// quotaWaits holds for each step how long its tasks without state have waited for a quota.
	quotaWaits map[int]quotaWait
	// share is that of the job's organisation, nil if the configuration has none; excess is set if
	// the job exceeds the organisation's weight.
	share  *fairShare
	excess bool
	// activeSince is the plan in or after which the job left the waiting queue, 0 while it is there.
	activeSince int64
	// runs holds the runs attached to hosts, including those being stopped.
	runs []*run
}

// endRecorded reports whether the end of the job is recorded, so that later owners know it.
func (e *jobEntry) endRecorded() bool { return e.recordedState != "" }

// step is a step of one occurrence, with its tasks and their runs.
type step struct {
	job        *jobEntry
	def        *job.Step
	occurrence int
	number     int
	// tasks holds, in ascending order, the tasks with runs or other state, until they are done.
	tasks []*task
	// gangRun is the current run number of a gang, which all its members share.
	gangRun int64
	// gangCheckpoint is the newest checkpoint of any member of a gang, of the run gangCheckpointRun.
	// All members resume from the same one.
	gangCheckpoint    string
	gangCheckpointRun int64
	placementCheck    *placementCheck
	// queuedAs is where the step is in the waiting queue, and triedIn the last plan in which it was
	// taken from there.
	queuedAs urgency
	triedIn  int64
	// worked is set once a run of the step was listed as working.
	worked bool
}

// task is one task with the runs that hosts may have of it.
type task struct {
	step  *step
	index int
	runs  []*run
	// lastRun is the highest run number known; the next is higher.
	lastRun    int64
	checkpoint string
	// notBefore delays the next start after a failed run or a refused start.
	notBefore time.Time
	// lateStartUntil is until when a start of the task that got no answer may be carried out, if its worker,
	// which has crashed since, does so again.
	lateStartUntil time.Time
	// hangs counts the runs that were stopped because they hung; hungOn is the last one, or nil.
	hangs  int
	hungOn *hang
	// avoidHost is the host on which the last run failed or hung.
	avoidHost worker.ID
	// suspectedAt is when the task became a suspect, zero while it is none.
	suspectedAt time.Time
	// weakCrashes counts those of the task's crashes that are weak evidence.
	weakCrashes int
	// lapsedRuns counts the runs under which a host may have crashed, see host.lapsed.
	lapsedRuns int
	// movedAt is when a run of the task was last moved because it disturbed others.
	movedAt time.Time
	// downSince is when the last run of a long-running task was released.
	downSince time.Time
}

// runState is what the owner knows of a run.
type runState int

const (
	// stateRecording: the placement is being recorded, or the start waits for its turn at the
	// host; no order has been sent.
	stateRecording runState = iota
	// stateInherited: an earlier owner recorded the run; its host has not reported on it.
	stateInherited
	// stateSending: the start order is in flight.
	stateSending
	// stateUnknown: the outcome of the start is unknown; it may still take effect.
	stateUnknown
	// stateRunning: the host has accepted the start or listed the run.
	stateRunning
	// stateStopping: the run is to be stopped or a stop is in flight.
	stateStopping
)

// run is one start of a task on a host.
type run struct {
	task   *task
	name   worker.TaskName
	number int64
	host   *host
	needs  worker.Resources
	state  runState
	// sentAt is when the start was sent or, before, when the run was placed. startedAt is when the host was first known to
	// have the run or, in stateUnknown, when the start failed without an answer.
	sentAt    time.Time
	startedAt time.Time
	// placedAt is the reading of the host's clock when the run was placed, 0 if it is unknown.
	placedAt time.Duration
	// stopSentAt is when the last stop was sent, stopAckedAt when one was first answered;
	// both are zero before. stopAckedAt is reset to zero when the stop must be repeated.
	stopSentAt  time.Time
	stopAckedAt time.Time
	// stopQueued is set while a stop waits to be sent.
	stopQueued bool
	stopReason string
	checkpoint string
	// token is the fencing token of the start order, 0 for one that an earlier owner sent.
	token worker.FencingToken
	// unsent is set until the start order is sent, queued while it waits for its turn.
	unsent, queued bool
	// unconfirmed is set when the start got no answer and no host has listed the run since.
	unconfirmed bool
	// resumed is set when the run began from a checkpoint, adopted when an earlier owner
	// started it. The durations of such runs don't count for the estimates.
	resumed, adopted bool
	// lost is set once a crash was counted against the run.
	lost bool
	// onNext is set when the start was answered by an incarnation that has not sent a list yet.
	onNext bool
	// atWork is set once the host has listed the run at full speed, and while it does.
	atWork bool
	// speed is the share of its full speed that the host last reported, in per cent.
	speed int
	// fullSpeedTime is how long the run would have taken at full speed for its work since the last
	// sample of interference, as noted at speedNotedAt.
	fullSpeedTime time.Duration
	speedNotedAt  time.Time
	// usage is the host's last measurement: tail latency or CPU usage, see worker.ActiveRun.
	usage int64
	// speedSent is the speed last ordered. The host may list another one while throttling is set,
	// since the order waits or is unanswered, and until throttleSettle after throttledAt, when it
	// was answered or given up.
	speedSent   int
	throttling  bool
	throttledAt time.Time
	// earlierHangs is how many runs of the task had been stopped because they hung when this one
	// was placed.
	earlierHangs int
	// idleSince is when the run stopped using processor time; zero while it uses some, or its use is
	// not measured. workedAt is when it was last listed as working, zero before.
	idleSince, workedAt time.Time
}

func (t *task) name() worker.TaskName {
	return worker.TaskName{
		Job: string(t.step.job.ID), Occurrence: t.step.occurrence, Step: t.step.number, Index: t.index,
	}
}

func (t *task) done() bool {
	return t.step.job.TaskDone(t.step.occurrence, t.step.number, t.index)
}

// activeRuns returns how many runs are not being stopped.
func (t *task) activeRuns() int {
	n := 0
	for _, r := range t.runs {
		if r.state != stateStopping {
			n++
		}
	}
	return n
}

// startable reports whether the task needs a run and may be started now.
func (t *task) startable(now time.Time) bool {
	if t.done() || now.Before(t.notBefore) || now.Before(t.lateStartUntil) || t.heldBack() {
		return false
	}
	return len(t.runs) == 0 || t.stranded(now)
}

// stranded reports whether the only run of a speculative task is on a host that has
// been unresponsive for longer than strandedAfter.
func (t *task) stranded(now time.Time) bool {
	if !t.step.def.Speculative || t.step.def.Gang || len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	return !r.unsent && !r.host.confirmed && now.Sub(r.host.heardAt) > strandedAfter
}

// fullSpeed is the speed of a run that is not throttled, in per cent.
const fullSpeed = 100

// objective returns the time by which an occurrence has to be done to be on time.
func (e *jobEntry) objective(occurrence int) time.Time {
	return e.EarliestStart(occurrence).Add(e.objectiveSpan())
}

// valueEnd returns the time after which the result of an occurrence has no value any more.
func (e *jobEntry) valueEnd(occurrence int) time.Time {
	return e.objective(occurrence).Add((lateFactor - 1) * e.objectiveSpan())
}

// objectiveSpan returns the time that an occurrence has from when it is due: the stretched
// longest chain of estimates plus the latency target.
func (e *jobEntry) objectiveSpan() time.Duration {
	return time.Duration(e.Stretch*float64(e.longestPath())) + e.LatencyTarget
}
