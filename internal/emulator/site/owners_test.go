package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// TestStaleOwner cuts the data centre of some pools' owners off, with workers in it,
// for longer than a lease: a task that a successor holds on elsewhere must not be
// started again there.
func TestStaleOwner(t *testing.T) {
	for _, dataCentre := range layout.DataCentres {
		t.Run(dataCentre, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := begin(t, 7)
				for range 10 {
					r.submit("rebuild", []job.Step{tasks(4, 2000, 15*time.Second)}, nil)
				}
				time.Sleep(time.Second)
				r.site.Cut(dataCentre, true)
				time.Sleep(8 * time.Second)
				r.site.Cut(dataCentre, false)
				r.settle()
			})
		})
	}
}

// TestTurnedAwayHostAsksItsPeers publishes a configuration while the log turns one
// entry host away: it is in force there all the same.
func TestTurnedAwayHostAsksItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 10)
		h := r.hosts[0]
		r.site.SetTrouble(h.Name, Trouble{Refuses: true})
		time.Sleep(3 * time.Second)
		next := *configuration
		next.Version = 2
		if err := r.site.Configure(&next); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got := h.Configuration().Version; got != 2 {
			t.Errorf("version %d is in force 2 s after version 2 was published", got)
		}
		r.site.SetTrouble(h.Name, Trouble{})
		r.settle()
	})
}

// TestDeadHostAcrossOwners ends a worker while its pool's owners are stopped one
// after the other: what it ran is started again soon, and not after the longest
// lease of each new owner.
func TestDeadHostAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 8)
		r.submit("serving", []job.Step{{Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1}}, nil)
		time.Sleep(3 * time.Second)
		r.site.CrashWorker(30 * time.Second)
		for n, h := range r.hosts[:4] {
			r.site.KillHost(h)
			time.Sleep(2 * time.Second)
			again, err := r.site.StartHost(h.Name, h.DataCentre, 1+n)
			if err != nil {
				t.Fatal(err)
			}
			r.hosts[n] = again
		}
		time.Sleep(4 * time.Second)
		if idle := r.site.Ledger().idle(); len(idle) > 0 {
			t.Errorf("%d long-running tasks don't run 4 s after the last change of owner, first %s", len(idle), idle[0])
		}
		r.settle()
	})
}

// TestAllKilled ends all entry hosts at once: accepted work is known again and ends.
func TestAllKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 9)
		for range 30 {
			r.submit("tiles", []job.Step{tasks(3, 1000, 700*time.Millisecond), tasks(2, 1000, 400*time.Millisecond, 0)}, nil)
		}
		time.Sleep(time.Second)
		for _, h := range r.hosts {
			r.site.KillHost(h)
		}
		time.Sleep(time.Second)
		for n, h := range r.hosts {
			if _, err := r.site.StartHost(h.Name, h.DataCentre, 1+n); err != nil {
				t.Fatal(err)
			}
		}
		r.settle()
	})
}

// TestMachinesAfterTheirOwnersEnd ends all entry hosts at once: the next owner of the
// machines orders some as soon as it has the partition, and a wave goes on as it was
// first seen.
func TestMachinesAfterTheirOwnersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := begin(t, 11)
		time.Sleep(5 * time.Second)
		for _, h := range r.hosts {
			r.site.KillHost(h)
		}
		if err := r.site.Publish(machine.Wave{Number: 1, Machines: r.site.Machines(), Duration: 30 * time.Second, MaxDown: 3}); err != nil {
			t.Fatal(err)
		}
		for n, h := range r.hosts {
			again, err := r.site.StartHost(h.Name, h.DataCentre, 1+n)
			if err != nil {
				t.Fatal(err)
			}
			r.hosts[n] = again
		}
		time.Sleep(2500 * time.Millisecond)
		if r.site.Maintained() == 0 {
			t.Error("no machine is maintained 2.5 s after the start, with a spare that is due")
		}
		r.settle()
	})
}
