package schedule

import (
	"time"
)

// The weights of a host's score. Nearness to the data outweighs all but a restricted or
// suspected host, an earlier failure on the host, and several runs of the same long-running
// step. Between otherwise equal hosts the most utilised wins, which keeps others free for
// large tasks.
const (
	scoreRestricted  = -1000
	scoreSuspected   = -100
	scoreAvoid       = -50
	scoreNearData    = 20
	scoreSameRack    = 10
	scoreUtilisation = 1
	scoreSpread      = -5
	// scoreDisturbance is the weight of a rise of the ratio of tail latency to target by one. The
	// least one that is acted on outweighs utilisation; maxDisturbance keeps all of them below
	// nearness to the data.
	scoreDisturbance, maxDisturbance = -12, 1.5
)

// score returns how well a host suits a task; the highest is best.
func (p *Pool) score(t *task, h *host, now time.Time) float64 {
	s := t.step
	score := 0.0
	if s.def.LongRunning && h.use != UseAll {
		score += scoreRestricted
	}
	if h.health.suspected(now) {
		score += scoreSuspected
	}
	if t.avoidHost == h.report.ID {
		score += scoreAvoid
	}
	if s.def.DataRack != "" && s.def.DataRack == h.report.Rack {
		score += scoreNearData
	}
	if s.def.OneRack && s.rack() == h.report.Rack {
		score += scoreSameRack
	}
	if s.def.LongRunning {
		score += scoreSpread * float64(h.stepRuns(s))
	}
	if p.neighbours.avoids() {
		score += p.scoreDisturbance(t, h)
	}
	return score + scoreUtilisation*h.utilisation()
}

// utilisation returns the share of a host's processors or memory in use, whichever is
// higher.
func (h *host) utilisation() float64 {
	c := h.report.Capacity
	if c.CPU == 0 || c.MemoryMB == 0 {
		return 0
	}
	return max(float64(h.used.CPU)/float64(c.CPU), float64(h.used.MemoryMB)/float64(c.MemoryMB))
}

// rack returns the rack that has the most of the step's runs, or empty.
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
