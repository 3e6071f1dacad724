package site

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestDeadlyTaskIsStartedWithoutEnd: a task crashes each worker that starts it.
func TestDeadlyTaskIsStartedWithoutEnd(t *testing.T) {
	testDeadlyTasks(t, 1, func(*fixture) {})
}

// TestDeadlyTaskOutlivesItsOwner: a new owner has to know the crashes before its tenure.
func TestDeadlyTaskOutlivesItsOwner(t *testing.T) {
	testDeadlyTasks(t, 2, func(f *fixture) {
		for range 3 {
			time.Sleep(time.Second)
			for n, h := range f.hosts {
				if h.Owns("maps") {
					f.restart(n, time.Second)
				}
			}
		}
	})
}

// TestCrashesDuringAnOutageOfTheMachineService: a crashed worker can't be told from a silent one
// while machines can't be listed.
func TestCrashesDuringAnOutageOfTheMachineService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.site.SetMachineServiceDown(true)
		var deadly []job.ID
		for range 3 {
			deadly = append(deadly, f.submit("tiles", []job.Step{newStep(1, 1000, 300*time.Millisecond)}, func(_ *job.Job, actual []taskBehaviour) {
				actual[0].deadly = map[int]bool{0: true}
			}))
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		f.site.SetMachineServiceDown(false)
		time.Sleep(10 * time.Second)
		for _, id := range deadly {
			if state := f.site.JobState("tiles", id); state != job.Failed {
				t.Errorf("job %s is %q; want %s", id, state, job.Failed)
			}
		}
		f.finish()
	})
}

// TestGivenUpServingJobIsMissed: a serving job has a deadly task; its other tasks work well.
func TestGivenUpServingJobIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		serving := newStep(4, 1000, 0)
		serving.LongRunning, serving.MaxUnavailable, serving.MaxPerHost = true, 1, 1
		id := f.submit("serving", []job.Step{serving}, func(_ *job.Job, actual []taskBehaviour) { actual[0].deadly = map[int]bool{2: true} })
		time.Sleep(30 * time.Second)
		if state := f.site.JobState("serving", id); state != job.Failed {
			t.Errorf("the job is %q; want %s", state, job.Failed)
		}
		f.finish()
	})
}

// TestCrashesAreBlamedOnTasks: workers crash by themselves, under tasks that did not cause it.
func TestCrashesAreBlamedOnTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.wait.Go(func() {
			for range 12 {
				time.Sleep(400 * time.Millisecond)
				f.site.CrashWorker(crashDowntime)
			}
		})
		for range 60 {
			f.submit("tiles", deadlySteps(), nil)
			time.Sleep(100 * time.Millisecond)
		}
		f.wait.Wait()
		time.Sleep(30 * time.Second)
		f.finish()
	})
}

// TestCrashOfACutOffWorkerIsBlamed: a task has ended on a worker that is cut off, before that
// crashes.
func TestCrashOfACutOffWorkerIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		id := f.submit("tiles", []job.Step{newStep(1, 1000, 300*time.Millisecond)}, func(_ *job.Job, actual []taskBehaviour) {
			actual[0].failShare = 0
		})
		for range blamedCrashes {
			w := f.awaitRun(worker.TaskName{Job: string(id)})
			f.site.cutOff(w)
			time.Sleep(time.Second)
			f.site.crash(w)
		}
		time.Sleep(20 * time.Second)
		if state := f.site.JobState("tiles", id); state != job.Done {
			t.Errorf("the job is %q; want %s", state, job.Done)
		}
		f.finish()
	})
}

// blamedCrashes is the number of crashes that are enough to give up a task.
const blamedCrashes = 2

// awaitRun waits for a run of a task and returns its worker soon after the start.
func (f *fixture) awaitRun(task worker.TaskName) *Worker {
	f.t.Helper()
	for range 10000 {
		time.Sleep(5 * time.Millisecond)
		for _, w := range f.site.workersUp() {
			if w.runsTask(task) {
				time.Sleep(5 * time.Millisecond)
				return w
			}
		}
	}
	f.t.Fatalf("%s is not started", task)
	return nil
}

func (s *Site) workersUp() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	var workers []*Worker
	for _, m := range s.liveMachines() {
		workers = append(workers, m.worker)
	}
	return workers
}

func (s *Site) cutOff(w *Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.isolated = true
}

func (w *Worker) runsTask(task worker.TaskName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.runs {
		if key.task == task {
			return true
		}
	}
	return false
}

// TestRandomWithDeadlyTasks: deadly tasks are started without end beside faults of all kinds.
func TestRandomWithDeadlyTasks(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, seed, submitDeadlyJobs) })
		})
	}
}

// submitDeadlyJobs submits jobs with a deadly task, one of them a gang.
func submitDeadlyJobs(f *fixture) {
	for n := range 8 {
		time.Sleep(4 * time.Second)
		steps := deadlySteps()
		steps[1].Gang = n == 5
		f.submit("tiles", steps, func(_ *job.Job, actual []taskBehaviour) { actual[n%2].deadly = map[int]bool{1: true} })
	}
}

func deadlySteps() []job.Step {
	return []job.Step{newStep(4, 1000, 500*time.Millisecond), newStep(2, 1000, 300*time.Millisecond, 0)}
}

// testDeadlyTasks submits deadly jobs among sound ones while disturb runs. The deadly ones must
// fail, the sound ones end as done.
func testDeadlyTasks(t *testing.T, seed uint64, disturb func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, seed)
		want := map[job.ID]job.State{}
		f.wait.Go(func() { disturb(f) })
		for n := range 60 {
			deadly := n%12 == 5
			id := f.submit("tiles", deadlySteps(), func(_ *job.Job, actual []taskBehaviour) {
				actual[0].failShare, actual[1].failShare = 0, 0
				if deadly {
					actual[n%2].deadly = map[int]bool{1: true}
				}
			})
			want[id] = job.Done
			if deadly {
				want[id] = job.Failed
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.wait.Wait()
		time.Sleep(30 * time.Second)
		for id, state := range want {
			if got := f.site.JobState("tiles", id); got != state {
				t.Errorf("job %s is %q; want %s", id, got, state)
			}
		}
		f.finish()
	})
}
