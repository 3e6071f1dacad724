package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
)

// TestRefusedJobsNeverRun submits far more than a pool holds, while owners are killed, while answers of
// the log are lost, and while a data centre is cut off from its peers. Jobs that all entry hosts refused
// must never run, and accepted ones must not be lost; the ledger checks both.
func TestRefusedJobsNeverRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// refuses is set if some jobs must be refused at all attempts. A new owner first learns how far
		// estimates are off, and refuses few until then.
		refuses bool
		fault   func(*fixture)
	}{
		{"no fault", true, func(*fixture) {}},
		{"owners change", false, func(f *fixture) {
			for n, h := range f.hosts[:4] {
				f.site.KillHost(h)
				time.Sleep(700 * time.Millisecond)
				again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
				if err != nil {
					f.t.Fatal(err)
				}
				f.hosts[n] = again
			}
		}},
		{"answers are lost", true, func(f *fixture) {
			for _, h := range f.hosts {
				f.site.SetStoreFault(h.Name, StoreFault{LostAnswerShare: 0.3})
			}
			time.Sleep(4 * time.Second)
			for _, h := range f.hosts {
				f.site.SetStoreFault(h.Name, StoreFault{})
			}
		}},
		{"peers are cut off", false, func(f *fixture) {
			f.site.IsolateDataCentre(layout.DataCentres[0], true)
			time.Sleep(3 * time.Second)
			f.site.IsolateDataCentre(layout.DataCentres[0], false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := *configuration
				shared.RequiresKeys, shared.Organisations = true, []queue.Organisation{{Name: "a", Weight: 1000}}
				f := newFixtureOf(t, layout, &shared, 5, events(t))
				for n := range 120 {
					f.submit("tiles", []job.Step{newStep(8, 4000, time.Second)}, func(j *job.Job, _ []taskBehaviour) { j.Organisation = "a" })
					if time.Sleep(40 * time.Millisecond); n == 60 {
						f.wait.Go(func() { c.fault(f) })
					}
				}
				f.finish()
				refused := f.site.Ledger().refusedJobs()
				t.Logf("%d of 120 jobs were refused", refused)
				if c.refuses && refused == 0 {
					t.Error("no job was refused, so that nothing was tested")
				}
			})
		})
	}
}
