package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// memberWorker returns the worker of a member of a job's gang, or nil.
func (f *fixture) memberWorker(id job.ID) *Worker {
	l := f.site.Ledger()
	l.mu.Lock()
	var found worker.ID
	for name, h := range l.tasks {
		for _, on := range h.running {
			if name.Job == string(id) {
				found = max(found, on)
			}
		}
	}
	l.mu.Unlock()
	return f.site.worker(found)
}

// TestGangGoesOnAfterAnyEnd guards against a gang whose members are started with different checkpoints
// after one of them has ended in the middle, and so end alone for ever.
func TestGangGoesOnAfterAnyEnd(t *testing.T) {
	for name, disrupt := range map[string]func(f *fixture, id job.ID){
		"worker crashes": func(f *fixture, id job.ID) { f.site.crash(f.memberWorker(id)) },
		"twice": func(f *fixture, id job.ID) {
			f.site.crash(f.memberWorker(id))
			time.Sleep(4300 * time.Millisecond)
			if w := f.memberWorker(id); w != nil {
				f.site.crash(w)
			}
		},
		"owner replaced": func(f *fixture, id job.ID) {
			f.site.crash(f.memberWorker(id))
			f.replaceOwner("archive")
		},
		"owner replaced later": func(f *fixture, id job.ID) {
			f.site.crash(f.memberWorker(id))
			time.Sleep(300 * time.Millisecond)
			f.replaceOwner("archive")
		},
		"maintenance": func(f *fixture, _ job.ID) {
			if err := f.site.Publish(machine.Wave{Number: 1, Machines: f.site.Machines(), Duration: 30 * time.Second, MaxDown: 3}); err != nil {
				f.t.Error(err)
			}
		},
		"workers drain": func(f *fixture, _ job.ID) {
			for range 3 {
				f.site.DrainWorker(2 * time.Second)
				time.Sleep(3 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 41)
				gang := newStep(4, 6000, 10*time.Second)
				gang.Gang, gang.SavesProgress, gang.MaxPerHost = true, true, 1
				id := f.submit("rebuild", []job.Step{gang}, func(_ *job.Job, actual []taskBehaviour) { actual[0].failShare = 0 })
				f.wait.Wait()
				time.Sleep(3600 * time.Millisecond)
				disrupt(f, id)
				time.Sleep(35 * time.Second)
				if state := f.site.JobState("rebuild", id); state != job.Done {
					t.Errorf("the gang is %q; want done", state)
				}
				f.finish()
			})
		})
	}
}
