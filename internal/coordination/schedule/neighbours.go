package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// figureTime is the time that a worker's figure for a run covers.
	figureTime = 500 * time.Millisecond
	// sampleSlack is how much earlier than that the next list may come and still be sampled.
	sampleSlack = 100 * time.Millisecond
	// warmUpTime is the age below which the figures of a serving run don't count.
	warmUpTime = 2 * figureTime
	// sampleWait bounds the wait of a renewal to a host with serving runs while interference is
	// sampled, so that each figure is seen.
	sampleWait = figureTime
	// maxChangesLogged bounds the lines about pairs that a fit found or cleared.
	maxChangesLogged = 10
	// avoidedLogInterval is the least time between two lines about placements that keep the
	// same pair apart.
	avoidedLogInterval = time.Second
)

// neighbours is what a pool knows of tasks that slow each other down, and what it does about it.
type neighbours struct {
	model *interference.Model
	avoid bool
	// chosen counts the placements on another host than without the model, moved the runs that
	// were moved.
	chosen, moved int64
	// loggedAt is when it was last logged that a found pair was kept apart by a placement.
	loggedAt map[interference.Pair]time.Time
}

// WithInterference sets whether the pool estimates which tasks slow each other down, and keeps them
// apart; without it, it does neither.
func WithInterference(mode interference.Mode) Option {
	return func(p *Pool) {
		if mode != interference.Observe && mode != interference.Avoid {
			return
		}
		p.neighbours = &neighbours{
			model: interference.New(), avoid: mode == interference.Avoid, loggedAt: map[interference.Pair]time.Time{},
		}
	}
}

// avoids reports whether any pair is to be kept apart now.
func (n *neighbours) avoids() bool { return n != nil && n.avoid && n.model.HasFound() }

// servingImage returns the image of a step that can be disturbed, or empty.
func servingImage(s *job.Step) string {
	if s.TailTarget <= 0 || s.BestEffort {
		return ""
	}
	return s.Image
}

// bestEffortImage returns the image of a step that can disturb others, or empty.
func bestEffortImage(s *job.Step) string {
	if !s.BestEffort {
		return ""
	}
	return s.Image
}

// servingSample sums up the runs of one serving image in a list.
type servingSample struct {
	image string
	ratio float64
	count int
	runs  int64
}

// sample adds a host's list to the model.
func (p *Pool) sample(h *host, rows []worker.ActiveRun, now time.Time) {
	var serving []servingSample
	var beside []interference.Beside
	sampledAt := h.sampledAt
	if now.Sub(sampledAt) < figureTime-sampleSlack {
		return
	}
	h.sampledAt = now
	for n := range rows {
		row := &rows[n]
		r, ok := h.runs[runKey{row.Task, row.Run}]
		if !ok {
			continue
		}
		def := r.task.step.def
		if image := bestEffortImage(def); image != "" {
			beside = append(beside, interference.Beside{Image: image, Speed: r.meanSpeed(sampledAt, now)})
		} else if image := servingImage(def); image != "" && row.Usage > 0 && r.state == stateRunning && now.Sub(r.startedAt) > warmUpTime {
			serving = addServing(serving, image, r, tailRatio(row.Usage, def))
		}
	}
	for _, s := range serving {
		p.neighbours.model.Observe(interference.Sample{
			Host: h.report.ID, At: now, Serving: s.image, Runs: s.runs, Ratio: s.ratio / float64(s.count), Beside: beside,
		})
	}
}

func addServing(all []servingSample, image string, r *run, ratio float64) []servingSample {
	n := 0
	for n < len(all) && all[n].image != image {
		n++
	}
	if n == len(all) {
		all = append(all, servingSample{image: image})
	}
	all[n].ratio += ratio
	all[n].count++
	all[n].runs += r.startedAt.UnixNano()
	return all
}

// noteSpeed adds the time at the present speed to that since the last sample, before the speed
// changes. A run may be throttled several times between two lists.
func (r *run) noteSpeed(now time.Time) {
	if since := later(r.startedAt, r.speedNotedAt); now.After(since) {
		r.fullSpeedTime += time.Duration(r.speed) * now.Sub(since) / fullSpeed
		r.speedNotedAt = now
	}
}

// meanSpeed returns the mean speed of a run since the last sample of its host, 1 at full speed. It
// is for the time that the figures cover where samples come as often as these.
func (r *run) meanSpeed(sampledAt, now time.Time) float64 {
	r.noteSpeed(now)
	mean := float64(r.fullSpeedTime) / float64(max(time.Millisecond, min(now.Sub(sampledAt), now.Sub(r.startedAt)+figureTime)))
	r.fullSpeedTime = 0
	return mean
}

// updateNeighbours has the model fitted and logs the pairs that were found or cleared.
func (p *Pool) updateNeighbours(now time.Time) {
	changes := p.neighbours.model.Update(now)
	for n, c := range changes {
		if !c.Found {
			delete(p.neighbours.loggedAt, c.Pair)
		}
		if n >= maxChangesLogged {
			continue
		}
		if c.Found {
			p.events.Event("interference-found", "pool", p.name, "serving", c.Serving, "best-effort", c.BestEffort,
				"effect", c.Effect, "error", c.Error, "changes", c.Changes, "in-this-fit", len(changes))
		} else {
			p.events.Event("interference-cleared", "pool", p.name, "serving", c.Serving, "best-effort", c.BestEffort,
				"reason", c.Reason, "effect", c.Effect, "error", c.Error, "in-this-fit", len(changes))
		}
	}
}

// disturbance returns by how much a task and the tasks on a host would raise the ratio of tail latency
// to target there, and the pair with the largest part in it.
func (p *Pool) disturbance(t *task, h *host) (sum float64, worst interference.Pair) {
	serving, bestEffort := servingImage(t.step.def), bestEffortImage(t.step.def)
	if serving == "" && bestEffort == "" {
		return 0, worst
	}
	largest := 0.0
	add := func(other *task) {
		pair := interference.Pair{Serving: serving, BestEffort: bestEffort}
		if serving == "" {
			pair.Serving = servingImage(other.step.def)
		} else {
			pair.BestEffort = bestEffortImage(other.step.def)
		}
		effect := p.neighbours.model.Effect(pair.Serving, pair.BestEffort)
		sum += effect
		if effect > largest {
			largest, worst = effect, pair
		}
	}
	for _, r := range h.runs {
		if r.task != t && r.state != stateStopping {
			add(r.task)
		}
	}
	for _, other := range h.reserved {
		if other != t {
			add(other)
		}
	}
	return sum, worst
}

// scoreDisturbance returns the part of a host's score that keeps tasks apart.
func (p *Pool) scoreDisturbance(t *task, h *host) float64 {
	effect, _ := p.disturbance(t, h)
	return scoreDisturbance * min(maxDisturbance, effect)
}

// noteChoice counts and logs a placement on another host than without the model.
func (p *Pool) noteChoice(t *task, chosen *host, now time.Time) {
	if bestEffortImage(t.step.def) == "" && servingImage(t.step.def) == "" {
		return
	}
	n := p.neighbours
	n.avoid = false
	other := p.highestScore(t, now)
	n.avoid = true
	if other == chosen || other == nil {
		return
	}
	effect, pair := p.disturbance(t, other)
	if effect == 0 {
		return
	}
	n.chosen++
	if now.Sub(n.loggedAt[pair]) < avoidedLogInterval {
		return
	}
	n.loggedAt[pair] = now
	p.events.Event("interference-avoided", "pool", p.name, "serving", pair.Serving, "best-effort", pair.BestEffort, "effect", effect,
		"task", t.name(), "host", chosen.report.ID, "instead-of", other.report.ID, "moved", false)
}
