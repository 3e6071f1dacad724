package capacity

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// trendWeight is the weight of the newest rise in the moving average.
	trendWeight = 0.2
	// maxTrendFactor bounds the forecast as a multiple of the present demand.
	maxTrendFactor = 2.0
	// startupTime is how long it takes after a machine's move until its worker gets tasks.
	startupTime = 600 * time.Millisecond
)

// trend is the rate at which a pool's demand changes.
type trend struct {
	// at and demand are the time and the demand of the last update.
	at     time.Time
	demand worker.Resources
	// cpu and memory are the averages of the change per second.
	cpu, memory float64
}

// forecast returns the expected demand of a pool at the time when a machine that is moved
// now can serve it.
func (p *Planner) forecast(pool string, demand worker.Resources, now time.Time) worker.Resources {
	t, ok := p.trends[pool]
	if !ok {
		p.trends[pool] = &trend{at: now, demand: demand}
		return demand
	}
	if passed := now.Sub(t.at).Seconds(); passed > 0 {
		t.cpu += trendWeight * (float64(demand.CPU-t.demand.CPU)/passed - t.cpu)
		t.memory += trendWeight * (float64(demand.MemoryMB-t.demand.MemoryMB)/passed - t.memory)
		t.at, t.demand = now, demand
	}
	horizon := (p.options.MoveTime + startupTime).Seconds()
	rise := func(current int64, perSecond float64) int64 {
		return int64(min(maxTrendFactor*float64(current), float64(current)+max(0, perSecond*horizon)))
	}
	demand.CPU, demand.MemoryMB = rise(demand.CPU, t.cpu), rise(demand.MemoryMB, t.memory)
	return demand
}
