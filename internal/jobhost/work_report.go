package jobhost

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
)

// workInterval is how often an owner logs what its pools have done.
const workInterval = time.Second

// workReporter logs what the owned pools do beside the processor time that the process uses, so that an
// owner which lacks time can be told from one that lacks hosts.
type workReporter struct {
	host   *JobHost
	before map[*poolRunner]poolWork
	used   time.Duration
}

// poolWork is the work of a pool and how long its plans took.
type poolWork struct {
	schedule.Work
	planned time.Duration
}

// run logs every workInterval until ctx ends.
func (w *workReporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, workInterval)
		w.report()
	}
}

// report logs one line for each pool that has placed runs since the last report.
func (w *workReporter) report() {
	used := processorTime()
	processor := used - w.used
	w.used = used
	now := map[*poolRunner]poolWork{}
	for _, p := range w.host.ownedPartitions() {
		for _, r := range p.runners() {
			now[r] = poolWork{r.pool.Work(), time.Duration(r.planned.Load())}
			before := w.before[r]
			done := now[r].Minus(before.Work)
			if done.Placed == 0 {
				continue
			}
			w.host.events.Event("owner-work", "pool", r.pool.Name(), "processor", processor, "millicores", w.host.settings.Resources.CPU,
				"plans", done.Plans, "planned", now[r].planned-before.planned, "host-checks", done.HostChecks, "placed", done.Placed,
				"starts", done.Starts, "renewals", done.Renewals)
		}
	}
	w.before = now
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage unix.Rusage
	// It fails only for a target or an address that is wrong.
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
