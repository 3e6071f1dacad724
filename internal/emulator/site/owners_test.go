package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestStaleOwner isolates the data centre of some pools' owners, with workers in it, for
// longer than a lease. The former owner must not start a task there again that its
// successor has running elsewhere.
func TestStaleOwner(t *testing.T) {
	for _, dataCentre := range layout.DataCentres {
		t.Run(dataCentre, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 7)
				for range 10 {
					f.submit("rebuild", []job.Step{newStep(4, 2000, 15*time.Second)}, nil)
				}
				time.Sleep(time.Second)
				f.site.IsolateDataCentre(dataCentre, true)
				time.Sleep(8 * time.Second)
				f.site.IsolateDataCentre(dataCentre, false)
				f.finish()
			})
		})
	}
}

// TestRefusedHostAsksItsPeers publishes a configuration while the log refuses the calls
// of one entry host: it must get the configuration from its peers.
func TestRefusedHostAsksItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10)
		h := f.hosts[0]
		f.site.SetStoreFault(h.Name, StoreFault{Refuses: true})
		time.Sleep(3 * time.Second)
		next := *configuration
		next.Version = 2
		if err := f.site.Configure(&next); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got := h.Configuration().Version; got != 2 {
			t.Errorf("version %d is in force 2 s after version 2 was published; want 2", got)
		}
		f.site.SetStoreFault(h.Name, StoreFault{})
		f.finish()
	})
}

// TestCrashedWorkerAcrossOwners crashes a worker while its pool's owners are replaced one
// after the other. Its tasks must be restarted soon; the wait for the longest lease must
// not begin anew with each owner.
func TestCrashedWorkerAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 8)
		f.submit("serving", []job.Step{{Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1}}, nil)
		time.Sleep(3 * time.Second)
		f.site.CrashWorker(30 * time.Second)
		for n, h := range f.hosts[:4] {
			f.site.KillHost(h)
			time.Sleep(2 * time.Second)
			again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
			if err != nil {
				t.Fatal(err)
			}
			f.hosts[n] = again
		}
		time.Sleep(4 * time.Second)
		if notRunning := f.site.Ledger().notRunning(); len(notRunning) > 0 {
			t.Errorf("%d long-running tasks don't run 4 s after the last change of owner, first %s", len(notRunning), notRunning[0])
		}
		f.finish()
	})
}

// TestAllKilled kills all entry hosts at once: after their restart, accepted jobs must
// still be known and must end.
func TestAllKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 9)
		for range 30 {
			f.submit("tiles", []job.Step{newStep(3, 1000, 700*time.Millisecond), newStep(2, 1000, 400*time.Millisecond, 0)}, nil)
		}
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			f.site.KillHost(h)
		}
		time.Sleep(time.Second)
		for n, h := range f.hosts {
			if _, err := f.site.StartHost(h.Name, h.DataCentre, 1+n); err != nil {
				t.Fatal(err)
			}
		}
		f.finish()
	})
}

// TestMachinesAfterTheirOwnersEnd kills all entry hosts at once and publishes a wave.
// The next owner of the machines must order maintenance as soon as it has the partition,
// and continue the wave from when it was first seen.
func TestMachinesAfterTheirOwnersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 11)
		time.Sleep(5 * time.Second)
		for _, h := range f.hosts {
			f.site.KillHost(h)
		}
		if err := f.site.Publish(machine.Wave{Number: 1, Machines: f.site.Machines(), Duration: 30 * time.Second, MaxDown: 3}); err != nil {
			t.Fatal(err)
		}
		for n, h := range f.hosts {
			again, err := f.site.StartHost(h.Name, h.DataCentre, 1+n)
			if err != nil {
				t.Fatal(err)
			}
			f.hosts[n] = again
		}
		time.Sleep(2500 * time.Millisecond)
		if f.site.Maintained() == 0 {
			t.Error("no machine was maintained within 2.5 s of the restart, although a spare is due")
		}
		f.finish()
	})
}
