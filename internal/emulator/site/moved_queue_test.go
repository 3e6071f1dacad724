package site

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
)

// newMovedFixture starts a site with one more pool. The records of "maps" and "archive" are in the
// same partition, those of "charts" in another one.
func newMovedFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	l := layout
	l.Machines, l.Pools = 6, []string{"maps", "archive", "charts"}
	return newFixtureOf(t, l, movedTo(1, "maps"), seed, events(t))
}

// movedTo returns a version of the configuration that sends the queue "tiles" to a pool; without
// one, there is no such queue.
func movedTo(version int64, pool string) *queue.Configuration {
	c := *configuration
	c.Version = version
	c.Queues = slices.Clone(configuration.Queues)
	c.Pools = append(slices.Clone(configuration.Pools), queue.Pool{Name: "charts", ChecksCapacity: true})
	if c.Queues[0].Pool = pool; pool == "" {
		c.Queues = c.Queues[1:]
	}
	return &c
}

// submitBeforeTheMove submits a job to "tiles" by the first version of the configuration.
func (f *fixture) submitBeforeTheMove(j *job.Job) {
	f.t.Helper()
	f.queue[j.ID] = "tiles"
	if !f.site.SubmitBy(movedTo(1, "maps"), "tiles", j) {
		f.t.Fatalf("job %s was not accepted", j.ID)
	}
}

// publish puts configurations in force, one after the other.
func (f *fixture) publish(all ...*queue.Configuration) {
	f.t.Helper()
	for _, c := range all {
		if err := f.site.Configure(c); err != nil {
			f.t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
}

// replaceOwner kills the owner of a pool and starts it again.
func (f *fixture) replaceOwner(pool string) {
	f.t.Helper()
	h := f.site.Owner(pool)
	if h == nil {
		return
	}
	f.site.KillHost(h)
	for n, other := range f.hosts {
		if other != h {
			continue
		}
		again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
		if err != nil {
			f.t.Fatal(err)
		}
		f.hosts[n] = again
	}
}

func movedJobs(now time.Time) []*job.Job {
	quick, slow := newStep(2, 1000, 500*time.Millisecond), newStep(2, 1000, 12*time.Second)
	return []*job.Job{
		{ID: JobID(1), Spec: "quick", Steps: []job.Step{quick}},
		{ID: JobID(2), Spec: "slow", Steps: []job.Step{slow}},
		{ID: JobID(3), Spec: "steps", Steps: []job.Step{slow, newStep(3, 1000, 500*time.Millisecond, 0)}},
		{ID: JobID(4), Spec: "times", Steps: []job.Step{quick}, Occurrences: 4, FirstAt: now.Add(time.Second), Interval: 5 * time.Second},
		{ID: JobID(5), Spec: "later", Steps: []job.Step{quick}, Occurrences: 1, FirstAt: now.Add(15 * time.Second)},
	}
}

// TestMovedQueueRunsItsJobsOnce guards against a job that runs a second time in another pool: its
// queue was moved there, and then the caller submitted the job again.
func TestMovedQueueRunsItsJobsOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		afterwards  []*queue.Configuration
		replacesNew bool
	}{
		{"removed and added", []*queue.Configuration{movedTo(2, ""), movedTo(4, "charts")}, false},
		{"at once", []*queue.Configuration{movedTo(2, "charts")}, false},
		{"and back", []*queue.Configuration{movedTo(2, "charts"), movedTo(3, "maps")}, false},
		{"over three pools", []*queue.Configuration{movedTo(2, "archive"), movedTo(3, "charts")}, false},
		{"owners replaced", []*queue.Configuration{movedTo(2, "charts")}, true},
		{"in one partition", []*queue.Configuration{movedTo(2, "archive")}, false},
		{"in one partition, owner replaced", []*queue.Configuration{movedTo(2, "archive")}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMovedFixture(t, 21)
				all := movedJobs(time.Now())
				for _, j := range all {
					f.submitBeforeTheMove(j)
				}
				time.Sleep(2 * time.Second)
				f.publish(c.afterwards...)
				newest := c.afterwards[len(c.afterwards)-1]
				for range 2 {
					for _, j := range all {
						f.site.SubmitBy(newest, "tiles", j)
					}
					if c.replacesNew {
						f.replaceOwner(newest.Queues[0].Pool)
						f.replaceOwner("maps")
					}
					time.Sleep(2 * time.Second)
				}
				for _, j := range all {
					if state := f.site.JobState("tiles", j.ID); state == "" {
						t.Errorf("job %s is unknown after its queue has moved", j.ID)
					}
				}
				f.finish()
			})
		})
	}
}

// TestHostsOnDifferentVersions guards against jobs that are lost or run twice while entry hosts use
// different versions of the configuration, and the owners of the pools are replaced.
func TestHostsOnDifferentVersions(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + uint64(n)
		synctest.Test(t, func(t *testing.T) {
			f := newMovedFixture(t, 22+seed)
			rng := rand.New(rand.NewPCG(seed, 2))
			versions := []*queue.Configuration{movedTo(1, "maps"), movedTo(2, "charts"), movedTo(3, "maps"), movedTo(4, "archive"), movedTo(5, "charts")}
			for n := range 75 {
				j := &job.Job{ID: JobID(100 + n), Spec: "spec", Steps: []job.Step{newStep(2, 500, time.Duration(200+rng.IntN(3000))*time.Millisecond)}}
				f.queue[j.ID] = "tiles"
				newest := min(len(versions)-1, n/15)
				if n%15 == 0 {
					if err := f.site.Configure(versions[newest]); err != nil {
						t.Fatal(err)
					}
				}
				for range 1 + rng.IntN(3) {
					used := versions[max(0, newest-rng.IntN(2))]
					f.wait.Go(func() {
						for !f.site.SubmitBy(used, "tiles", j) {
							time.Sleep(300 * time.Millisecond)
						}
					})
				}
				if rng.IntN(12) == 0 {
					f.replaceOwner([]string{"maps", "charts"}[rng.IntN(2)])
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			f.finish()
		})
	}
}

// TestCancelAfterTheMove guards against a cancel that does not reach the pool that has the job.
func TestCancelAfterTheMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 27)
		j := &job.Job{ID: JobID(1), Spec: "spec", Steps: []job.Step{newStep(2, 1000, 30*time.Second)}}
		f.submitBeforeTheMove(j)
		moved := movedTo(2, "charts")
		f.publish(moved)
		f.site.SubmitBy(moved, "tiles", j)
		f.site.Cancel("tiles", j.ID)
		time.Sleep(time.Second)
		if state := f.site.JobState("tiles", j.ID); state != job.Cancelled {
			t.Errorf("a job that was cancelled after its queue had moved is %q; want cancelled", state)
		}
		for name, h := range f.site.Ledger().tasks {
			if len(h.running) > 0 {
				t.Errorf("%s still runs after its job was cancelled", name)
			}
		}
		f.finish()
	})
}

// TestWaitingAfterTheMove guards against a count of waiting jobs that leaves out those that wait in
// the former pool of their queue.
func TestWaitingAfterTheMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 28)
		step := newStep(2, 1000, time.Second)
		step.RequiredLabel = "no-host-has-this"
		for n := range 8 {
			j := &job.Job{ID: JobID(1 + n), Spec: "spec", Steps: []job.Step{step}}
			f.submitBeforeTheMove(j)
		}
		time.Sleep(time.Second)
		f.publish(movedTo(2, "charts"))
		if waiting := f.site.Waiting("tiles"); waiting != 8 {
			t.Errorf("%d jobs wait after their queue has moved; want 8", waiting)
		}
		for n := range 8 {
			f.site.Cancel("tiles", JobID(1+n))
		}
		f.finish()
	})
}

// TestRemovedPoolKeepsItsJobs guards against a job that is shown as unknown while it runs, since the
// configuration no longer has its pool.
func TestRemovedPoolKeepsItsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 29)
		j := &job.Job{ID: JobID(1), Spec: "spec", Steps: []job.Step{newStep(2, 1000, 8*time.Second)}}
		f.submitBeforeTheMove(j)
		moved := movedTo(2, "charts")
		moved.Queues[1].Pool = "charts"
		moved.Pools = moved.Pools[1:]
		f.publish(moved)
		if state := f.site.JobState("tiles", j.ID); state != job.Running {
			t.Errorf("a job of a pool that was removed is %q; want running", state)
		}
		f.finish()
	})
}

// TestWaitingWhileAnotherOwnerIsAway guards against callers who are kept from a count of waiting jobs by
// the loss of an owner that has none of the queue's jobs.
func TestWaitingWhileAnotherOwnerIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMovedFixture(t, 30)
		f.submit("tiles", []job.Step{newStep(2, 1000, time.Second)}, nil)
		f.wait.Wait()
		other := f.site.Owner("charts")
		if other == f.site.Owner("maps") {
			t.Fatal("both pools have the same owner")
		}
		f.site.KillHost(other)
		// "serving" has had no job yet.
		for _, name := range []string{"tiles", "serving"} {
			began := time.Now()
			if waiting := f.site.Waiting(name); waiting < 0 || time.Since(began) > time.Second {
				t.Errorf("%d jobs of %s wait, answered after %s", waiting, name, time.Since(began))
			}
		}
		f.finish()
	})
}
