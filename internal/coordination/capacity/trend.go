package capacity

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// trendWeight is the weight of the newest rise in the running mean.
	trendWeight = 0.2
	// trendMost bounds what is expected, as a multiple of what is wanted now.
	trendMost = 2.0
	// startUp is how long a machine that has moved takes until its worker gets tasks.
	startUp = 600 * time.Millisecond
)

// trend is how fast a pool's demand rises.
type trend struct {
	at     time.Time
	wanted worker.Resources
	// cpu and memory a second.
	cpu, memory float64
}

// expected is what a pool will want by the time a machine that is moved now serves it.
func (p *Planner) expected(pool string, wanted worker.Resources, now time.Time) worker.Resources {
	t, ok := p.trends[pool]
	if !ok {
		p.trends[pool] = &trend{at: now, wanted: wanted}
		return wanted
	}
	if passed := now.Sub(t.at).Seconds(); passed > 0 {
		t.cpu += trendWeight * (float64(wanted.CPU-t.wanted.CPU)/passed - t.cpu)
		t.memory += trendWeight * (float64(wanted.MemoryMB-t.wanted.MemoryMB)/passed - t.memory)
		t.at, t.wanted = now, wanted
	}
	ahead := (p.options.MoveTime + startUp).Seconds()
	rise := func(now int64, perSecond float64) int64 {
		return int64(min(trendMost*float64(now), float64(now)+max(0, perSecond*ahead)))
	}
	wanted.CPU, wanted.MemoryMB = rise(wanted.CPU, t.cpu), rise(wanted.MemoryMB, t.memory)
	return wanted
}
