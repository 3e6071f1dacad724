package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// paceDownAt and paceUpAt are the shares of the tail target at which best-effort
	// runs beside a serving task are slowed down and let go again.
	paceDownAt, paceUpAt = 0.8, 0.5
	// paceUpStep is by how much they are let go at a time, in per cent; slowing down
	// is to a half at once, and to nothing when the target is missed.
	paceUpStep = 20
)

// pace slows best-effort runs down where they disturb tasks that serve.
func (p *Pool) pace(_ time.Time, orders *Orders) {
	for id, h := range p.hosts {
		if !h.confirmed {
			continue
		}
		load, serves := h.tailLoad()
		if !serves {
			load = 0
		}
		for _, r := range h.runs {
			if !r.task.step.def.BestEffort || r.state != on || r.percent != r.paceSent {
				continue
			}
			percent := pacedTo(r.percent, load)
			if percent == r.percent {
				continue
			}
			r.paceSent = percent
			p.events.Event("run-paced", "task", r.name, "run", r.number, "host", id, "percent", percent, "tail-load", load)
			orders.Paces = append(orders.Paces, Pace{
				worker.Target{ID: id, Address: h.report.Address},
				worker.PaceOrder{Task: r.name, Run: r.number, Percent: percent, Fence: p.fence},
			})
		}
	}
}

// tailLoad is the worst ratio of tail latency to target on a host.
func (h *host) tailLoad() (load float64, serves bool) {
	for _, r := range h.runs {
		target := r.task.step.def.TailTarget
		if target <= 0 || r.state != on {
			continue
		}
		serves = true
		load = max(load, float64(r.gauge)/float64(target.Milliseconds()))
	}
	return load, serves
}

func pacedTo(percent int, load float64) int {
	switch {
	case load >= 1:
		return 0
	case load >= paceDownAt:
		return percent / 2
	case load <= paceUpAt:
		return min(fullSpeed, percent+paceUpStep)
	default:
		return percent
	}
}

// Paced takes the answer to a change of pace.
func (p *Pool) Paced(id worker.ID, order worker.PaceOrder, err error) {
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
	if err != nil {
		r.paceSent = r.percent
		return
	}
	r.percent = order.Percent
}
