package site

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

func TestNoCopyStartsLongAfterItsTaskIsDone(t *testing.T) {
	for _, loss := range []struct {
		// every is the distance between two machines that lose a share of their orders.
		every int
		share float64
		seeds uint64
	}{{every: 2, share: 0.5, seeds: 16}, {every: 3, share: 0.85, seeds: 24}} {
		for seed := range loss.seeds {
			t.Run(fmt.Sprintf("every-%d/share-%g/seed-%d", loss.every, loss.share, seed+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLostOrders(newFixture(t, seed+1), loss.every, loss.share) })
			})
		}
	}
}

func runLostOrders(f *fixture, every int, share float64) {
	machines := slices.Sorted(slices.Values(f.site.Machines()))
	for n := 0; n < len(machines); n += every {
		f.site.SetLostOrderShareOf(machines[n], share)
	}
	for range 40 {
		step := newStep(8, 1000, 600*time.Millisecond)
		step.Speculative = true
		f.submit("tiles", []job.Step{step}, nil)
		time.Sleep(200 * time.Millisecond)
	}
	for _, name := range machines {
		f.site.SetLostOrderShareOf(name, 0)
	}
	f.finish()
}
