package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// throttleAt and unthrottleAt are the ratios of tail latency to target at which
	// best-effort runs beside a serving task are throttled and sped up again.
	throttleAt, unthrottleAt = 0.8, 0.5
	// unthrottleStep is how much they are sped up at a time, in per cent of full speed.
	// Throttling halves the speed at once, and sets it to zero when the target is missed.
	unthrottleStep = 20
	// throttleSettle is how long after a throttle order the host may list the speed from before
	// it. A different speed after that is from an earlier order that took effect late.
	throttleSettle = time.Second
)

// throttle orders a lower speed for best-effort runs on hosts where serving tasks come
// near their tail target, and a higher one where latency is low again.
func (p *Pool) throttle(now time.Time, orders *Orders) {
	for id, h := range p.hosts {
		if !h.confirmed {
			continue
		}
		load, serves := h.tailLoad()
		if !serves {
			load = 0
		}
		for _, r := range h.runs {
			if !r.task.step.def.BestEffort || r.state != stateRunning || r.throttleUnsettled(now) {
				continue
			}
			speed := throttledSpeed(r.speed, load)
			if speed == r.speed {
				continue
			}
			r.speedSent, r.throttling = speed, true
			p.events.Event("run-paced", "task", r.name, "run", r.number, "host", id, "percent", speed, "tail-load", load)
			orders.Throttles = append(orders.Throttles, Throttle{
				worker.Target{ID: id, Address: h.report.Address},
				worker.ThrottleOrder{Task: r.name, Run: r.number, Percent: speed, Token: p.useToken(h)},
			})
		}
	}
}

// throttleUnsettled reports whether the listed speed may not show the last throttle order yet.
func (r *run) throttleUnsettled(now time.Time) bool {
	return r.throttling || (r.speed != r.speedSent && now.Sub(r.throttledAt) < throttleSettle)
}

// tailLoad returns the highest ratio of tail latency to target on a host, and whether
// any serving task runs there.
func (h *host) tailLoad() (load float64, serves bool) {
	for _, r := range h.runs {
		target := r.task.step.def.TailTarget
		if target <= 0 || r.state != stateRunning {
			continue
		}
		serves = true
		load = max(load, tailRatio(r.usage, r.task.step.def))
	}
	return load, serves
}

// serves reports whether the host has a serving run with an image, whose figures are sampled.
func (h *host) serves() bool {
	for _, r := range h.runs {
		if servingImage(r.task.step.def) != "" {
			return true
		}
	}
	return false
}

// tailRatio returns the ratio of a tail latency in milliseconds to a step's target.
func tailRatio(usage int64, s *job.Step) float64 {
	return float64(usage) / float64(s.TailTarget.Milliseconds())
}

// throttledSpeed returns the next speed of a best-effort run.
func throttledSpeed(speed int, load float64) int {
	switch {
	case load >= 1:
		return 0
	case load >= throttleAt:
		return speed / 2
	case load <= unthrottleAt:
		return min(fullSpeed, speed+unthrottleStep)
	default:
		return speed
	}
}

// ApplyThrottle applies the answer to a throttle order. With err set, it got none or was not sent.
func (p *Pool) ApplyThrottle(id worker.ID, order worker.ThrottleOrder, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	r, ok := h.runs[runKey{order.Task, order.Run}]
	if !ok {
		return
	}
	r.throttling, r.throttledAt = false, now
	if err != nil {
		r.speedSent = r.speed
		return
	}
	r.noteSpeed(now)
	r.speed = order.Percent
}
