package site

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// checkRecordsFit reports an error if the store has refused an append for its size.
func (f *fixture) checkRecordsFit() {
	f.t.Helper()
	if n := f.site.store.refusedTooLarge.Load(); n > 0 {
		f.t.Errorf("the store refused %d appends over its limits", n)
	}
}

// TestLargeJobKeepsItsPoolGoing guards against a pool that stands still because the record of a job
// with many tasks grows over the store's limit; its owner is replaced meanwhile.
func TestLargeJobKeepsItsPoolGoing(t *testing.T) {
	for name, steps := range map[string][]job.Step{
		"one step":    {newStep(900, 10, 4*time.Second)},
		"many steps":  {newStep(300, 10, 2*time.Second), newStep(900, 10, 2*time.Second, 0), newStep(100, 10, 2*time.Second)},
		"occurrences": {newStep(40, 10, time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 31)
				large := f.submit("rebuild", steps, func(j *job.Job, actual []taskBehaviour) {
					for n := range actual {
						j.Steps[n].Needs.MemoryMB = 1
						actual[n].step, actual[n].failShare = &j.Steps[n], 0.05
					}
					j.MaxAttempts = 50
					if name == "occurrences" {
						j.Occurrences, j.FirstAt, j.Interval = 60, time.Now(), 100*time.Millisecond
					}
				})
				f.wait.Wait()
				var later []job.ID
				for n := range 10 {
					time.Sleep(500 * time.Millisecond)
					if n == 4 {
						f.replaceOwner("archive")
					}
					later = append(later, f.submit("rebuild", []job.Step{newStep(2, 1000, time.Second), newStep(2, 1000, time.Second, 0)}, nil))
				}
				f.wait.Wait()
				time.Sleep(15 * time.Second)
				for _, id := range later {
					if state := f.site.JobState("rebuild", id); state != job.Done {
						t.Errorf("job %s is %q beside a large one; want done", id, state)
					}
				}
				f.finish()
				f.checkRecordsFit()
				if state := f.site.Ledger().jobs[large].shown; state != job.Done && state != job.Failed {
					t.Errorf("the large job was last shown as %q", state)
				}
			})
		})
	}
}

// TestJobTooLargeToKeepIsRefusedAtOnce guards against a caller who waits, or is told to come back, for
// a job whose record the store never takes.
func TestJobTooLargeToKeepIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 32)
		steps := make([]job.Step, 60)
		for n := range steps {
			steps[n] = newStep(1, 10, time.Second)
			steps[n].Image = strings.Repeat("i", 400)
		}
		j := &job.Job{ID: JobID(1), Spec: "spec", Steps: steps}
		began := time.Now()
		err := f.hosts[0].Intake().Submit(t.Context(), intake.Caller{Configuration: configuration, Queue: &configuration.Queues[0]}, j)
		if e := verdict.FromError(err); e.Verdict != verdict.NotRun || e.Cause != verdict.CauseTooLarge || time.Since(began) > 0 {
			t.Errorf("%v after %s; want a refusal at once", err, time.Since(began))
		}
		f.finish()
		f.checkRecordsFit()
	})
}
