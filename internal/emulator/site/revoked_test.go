package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// TestSubmissionAfterItsCancelRuns guards against a job that runs although its cancel was answered: an
// entry host that was paused, or the log, may be late with its submission.
func TestSubmissionAfterItsCancelRuns(t *testing.T) {
	nothing := func(*fixture) {}
	for name, c := range map[string]struct{ before, after func(*fixture) }{
		"at once":           {nothing, nothing},
		"some time later":   {func(*fixture) { time.Sleep(30 * time.Second) }, nothing},
		"to the next owner": {func(f *fixture) { f.replaceOwner("archive") }, nothing},
		"owners follow each other": {nothing, func(f *fixture) {
			// The revocations are dropped meanwhile.
			for range 3 {
				time.Sleep(50 * time.Second)
				f.replaceOwner("archive")
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 3)
				f.site.Cancel("rebuild", JobID(1))
				c.before(f)
				id := f.submit("rebuild", []job.Step{newStep(6, 4000, 20*time.Second)}, nil)
				f.wait.Wait()
				c.after(f)
				time.Sleep(3 * time.Second)
				if state := f.site.JobState("rebuild", id); state != job.Cancelled {
					t.Errorf("the job is %q; want cancelled", state)
				}
				for task, h := range f.site.Ledger().tasks {
					if h.done || len(h.running) > 0 {
						t.Errorf("task %s has run", task)
					}
				}
				f.finish()
			})
		})
	}
}
