package site

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// servingLedger is a ledger with one accepted long-running job of three tasks, of which one may be
// unavailable.
type servingLedger struct {
	*Ledger
	step *job.Step
}

func newServingLedger(deadly map[int]bool) servingLedger {
	j := &job.Job{ID: JobID(1), Queue: "serving", Pool: "maps", Steps: []job.Step{{Tasks: 3, LongRunning: true, MaxUnavailable: 1}}, MaxAttempts: 3}
	l := servingLedger{newLedger(), &j.Steps[0]}
	l.configured(configuration)
	l.submit(j, []taskBehaviour{{step: l.step, deadly: deadly}})
	l.accepted(j.ID)
	for index := range l.step.Tasks {
		l.start(index, 1)
	}
	return l
}

func servingTask(index int) worker.TaskName {
	return worker.TaskName{Job: string(JobID(1)), Index: index}
}

func (l servingLedger) start(index int, run int64) {
	l.started(&Worker{id: "w", pool: "maps"}, worker.StartOrder{Task: servingTask(index), Run: run}, taskBehaviour{step: l.step}, false)
}

// stop orders the end of a task's run.
func (l servingLedger) stop(index int, run int64) {
	key := runKey{servingTask(index), run}
	l.recordOrderedEnd(&Worker{id: "w"}, key, "a stop")
	l.ended(nil, key, worker.OutcomeStopped)
}

// crash crashes the worker of a task's run.
func (l servingLedger) crash(index int, run int64) {
	w := &Worker{runs: map[runKey]*taskRun{{servingTask(index), run}: {}}}
	l.crashed(w)
	l.endedWithWorker(w, runKey{servingTask(index), run})
}

// TestStopsOfAJobThatIsKeptAreExcused: too few tasks of a step are left in a job that has lost
// workers, but was not given up for it.
func TestStopsOfAJobThatIsKeptAreExcused(t *testing.T) {
	violation := []string{"avail: a stop ended " + servingTask(2).String() + " on w while 1 others of its step were unavailable"}
	for name, test := range map[string]struct {
		deadly  bool
		crashes int64
		after   func(servingLedger)
		want    []string
	}{
		"given up":             {true, crashesToFail, func(l servingLedger) { l.shown(JobID(1), job.Failed, true) }, nil},
		"sound":                {false, crashesToFail, func(l servingLedger) { l.shown(JobID(1), job.Failed, true) }, violation},
		"running":              {true, crashesToFail, func(l servingLedger) { l.shown(JobID(1), job.Running, true) }, violation},
		"not asked":            {true, crashesToFail, func(servingLedger) {}, violation},
		"too few crashes":      {true, crashesToFail - 1, func(servingLedger) {}, violation},
		"given up after start": {true, crashesToFail, func(l servingLedger) { l.start(1, 2); l.shown(JobID(1), job.Failed, true) }, violation},
	} {
		t.Run(name, func(t *testing.T) {
			l := newServingLedger(map[int]bool{0: test.deadly})
			for run := range test.crashes {
				l.crash(0, 1+run)
				l.start(0, 2+run)
			}
			l.stop(1, 1)
			l.stop(2, 1)
			test.after(l)
			l.checkLastStops()
			if diff := cmp.Diff(test.want, l.Violations()); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// TestServingJobFailsByItsAttempts: a long-running job may not fail, however often its tasks do.
func TestServingJobFailsByItsAttempts(t *testing.T) {
	l := newServingLedger(nil)
	for run := range int64(3) {
		l.ended(nil, runKey{servingTask(0), 1 + run}, worker.OutcomeFailed)
		l.start(0, 2+run)
	}
	l.shown(JobID(1), job.Failed, true)
	want := []string{"lost: job " + string(JobID(1)) + " is shown as failed, but no task failed often enough"}
	if diff := cmp.Diff(want, l.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}
