package site

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// newCheckpoint returns the checkpoint of a member of a step after so much work.
func newCheckpoint(task worker.TaskName, worked time.Duration) string {
	return fmt.Sprintf("%s#%d@%d", task.StepName(), task.Index, worked.Milliseconds())
}

// progressOf returns the work that a checkpoint holds, 0 for none.
func progressOf(checkpoint string) time.Duration {
	_, worked, _ := strings.Cut(checkpoint, "@")
	n, err := strconv.Atoi(worked)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// belongsTo reports whether a checkpoint is one of a task, or of another member of its gang.
func belongsTo(checkpoint string, task worker.TaskName, gang bool) bool {
	owner, _, _ := strings.Cut(checkpoint, "@")
	step, index, _ := strings.Cut(owner, "#")
	return step == task.StepName() && (gang || index == strconv.Itoa(task.Index))
}

// lastCheckpoint returns the newest checkpoint of a run. There is one with each interval of its
// work, and one as it is stopped.
func (r *taskRun) lastCheckpoint(stopped bool) string {
	if !r.saves || !r.working {
		return r.checkpoint
	}
	worked := time.Since(r.workedSince)
	if !stopped {
		worked = worked.Truncate(checkpointInterval)
	}
	if worked <= 0 {
		return r.checkpoint
	}
	return newCheckpoint(r.key.task, progressOf(r.checkpoint)+worked)
}

// checkCheckpoint checks that a run resumes from a checkpoint of its task, and a member of a gang from
// the same one as the others of its run.
func (l *Ledger) checkCheckpoint(o worker.StartOrder, actual taskBehaviour) {
	if o.Checkpoint != "" && !belongsTo(o.Checkpoint, o.Task, actual.step.Gang) {
		l.addViolation("unasked: %s run %d was started with the checkpoint %q", o.Task, o.Run, o.Checkpoint)
	}
	if !actual.step.Gang {
		return
	}
	key := runKey{o.Task, o.Run}.gang()
	first, ok := l.gangCheckpoints[key]
	if !ok {
		l.gangCheckpoints[key] = o.Checkpoint
		return
	}
	if first != o.Checkpoint {
		l.addViolation("gang: %s run %d was started with the checkpoint %q, another member with %q", o.Task, o.Run, o.Checkpoint, first)
	}
}
