package schedule

import (
	"time"
)

// The weights of a host's score; nearness to data outweighs all but suspicion, and
// among equals the fuller host is taken, so that others stay free for large tasks.
const (
	scoreRestricted = -1000
	scoreSuspected  = -100
	scoreAvoid      = -50
	scoreNear       = 20
	scoreSameRack   = 10
	scoreFull       = 1
	scoreSpread     = -5
)

func (p *Pool) score(t *task, h *host, now time.Time) float64 {
	s := t.step
	score := 0.0
	if s.def.LongRunning && h.use != UseAll {
		score += scoreRestricted
	}
	if h.health.suspected(now) {
		score += scoreSuspected
	}
	if t.avoid == h.report.ID {
		score += scoreAvoid
	}
	if s.def.DataRack != "" && s.def.DataRack == h.report.Rack {
		score += scoreNear
	}
	if s.def.OneRack && s.rack() == h.report.Rack {
		score += scoreSameRack
	}
	if s.def.LongRunning {
		score += scoreSpread * float64(h.stepRuns(s))
	}
	return score + scoreFull*h.fullness()
}

// fullness is the share of a host's processors or memory that is taken.
func (h *host) fullness() float64 {
	c := h.report.Capacity
	if c.CPU == 0 || c.MemoryMB == 0 {
		return 0
	}
	return max(float64(h.used.CPU)/float64(c.CPU), float64(h.used.MemoryMB)/float64(c.MemoryMB))
}

// rack is where most of the step's runs are.
func (s *step) rack() string {
	count := map[string]int{}
	best := ""
	for _, t := range s.tasks {
		for _, r := range t.runs {
			rack := r.host.report.Rack
			count[rack]++
			if best == "" || count[rack] > count[best] {
				best = rack
			}
		}
	}
	return best
}
