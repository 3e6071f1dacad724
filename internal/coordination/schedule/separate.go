package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
)

const (
	// separateAt is the ratio of tail latency to target from which on best-effort runs that raise it
	// leave the host. It is below throttleAt, so that they move before they are throttled.
	separateAt = 0.7
	// minRelief is the share of its disturbance that a move must spare.
	minRelief = 0.5
	// maxLostWork is the age up to which a run may be stopped that would begin anew.
	maxLostWork = time.Second
	// lastingTime is how long a pair must have been found before a long-running task moves for it.
	lastingTime = 3 * time.Second
	// moveInterval is the least time between two such moves of a task, separateInterval of runs off
	// a host: the figures of the latter show the last move only then.
	moveInterval, separateInterval = 6 * time.Second, time.Second
)

// reasonInterference is why runs are stopped that go on where they disturb less.
const reasonInterference = "interference"

// separate moves best-effort runs off hosts where they disturb serving tasks near their target, to
// hosts with room where they don't. Others are throttled.
func (p *Pool) separate(now time.Time) {
	for _, h := range p.hosts {
		if h.confirmed && now.Sub(h.separatedAt) >= separateInterval {
			p.separateHost(h, now)
		}
	}
}

// separateHost moves the run that disturbs most off a host, if it can move.
func (p *Pool) separateHost(h *host, now time.Time) {
	load, serves := h.tailLoad()
	if !serves {
		return
	}
	var worst *run
	var worstPair interference.Pair
	largest := 0.0
	for _, r := range h.runs {
		if bestEffortImage(r.task.step.def) == "" || (load < separateAt && r.speed == fullSpeed) {
			continue
		}
		if effect, pair := p.disturbance(r.task, h); effect > largest && p.mayMove(r, pair, now) {
			worst, worstPair, largest = r, pair, effect
		}
	}
	if worst == nil {
		return
	}
	target := p.quietHost(worst, largest, now)
	if target == nil {
		return
	}
	p.neighbours.moved++
	h.separatedAt, worst.task.movedAt = now, now
	p.events.Event("interference-avoided", "pool", p.name, "serving", worstPair.Serving, "best-effort", worstPair.BestEffort, "effect", largest,
		"task", worst.name, "run", worst.number, "host", target.report.ID, "instead-of", h.report.ID, "moved", true,
		"tail-load", load, "percent", worst.speed)
	p.reserve(worst.task, target, now)
	p.stop(worst, reasonInterference)
}

// mayMove reports whether a run can be stopped at little cost to go on elsewhere.
func (p *Pool) mayMove(r *run, pair interference.Pair, now time.Time) bool {
	s, age := r.task.step, now.Sub(r.startedAt)
	switch {
	case r.state != stateRunning || s.def.Gang || s.job.Ended() || len(r.task.runs) > 1 || now.Sub(r.task.movedAt) < moveInterval:
		return false
	case s.def.LongRunning:
		return p.neighbours.model.FoundFor(pair, now) >= lastingTime && p.withinMaxUnavailable(s, r.task, now)
	default:
		return age <= maxLostWork || (s.def.SavesProgress && age > p.limits.CheckpointInterval)
	}
}

// quietHost returns the best host to which a run can move that disturbs by effect where it is, or nil.
func (p *Pool) quietHost(r *run, effect float64, now time.Time) *host {
	var best *host
	bestScore := 0.0
	for _, h := range p.hosts {
		if h == r.host || h.use != UseAll || h.health.suspected(now) || !p.allowed(r.task.step, h, now) || !h.runsAsWell(r) {
			continue
		}
		if there, _ := p.disturbance(r.task, h); there > effect*(1-minRelief) {
			continue
		}
		score := p.score(r.task, h, now)
		if best == nil || score > bestScore || (score == bestScore && h.report.ID < best.report.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

// runsAsWell reports whether a best-effort run would have the cores it asks for and its data as near as
// now, and would not be throttled.
func (h *host) runsAsWell(r *run) bool {
	def := r.task.step.def
	if def.DataRack != "" && def.DataRack == r.host.report.Rack && def.DataRack != h.report.Rack {
		return false
	}
	load, _ := h.tailLoad()
	return load < throttleAt && h.idleCPU() >= def.Needs.CPU
}

// idleCPU returns what the host has beyond what its tasks reserve and what best-effort tasks ask for.
func (h *host) idleCPU() int64 {
	idle := h.free().CPU
	for _, r := range h.runs {
		if def := r.task.step.def; def.BestEffort {
			idle -= def.Needs.CPU
		}
	}
	for _, t := range h.reserved {
		if t.step.def.BestEffort {
			idle -= t.step.def.Needs.CPU
		}
	}
	return idle
}
