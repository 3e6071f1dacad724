package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Orders are what has to be sent.
type Orders struct {
	// Placed tells that starts wait for their record.
	Placed    bool
	Stops     []Stop
	Paces     []Pace
	Questions []Question
}

// Start is a start for one host.
type Start struct {
	Target worker.Target
	Order  worker.StartOrder
}

// Stop is a stop for one host.
type Stop struct {
	Target worker.Target
	Order  worker.StopOrder
	// Absent: the run may not be there, so that no end will be listed; the host has to
	// be asked.
	Absent bool
}

// Pace is a change of a run's share of its speed.
type Pace struct {
	Target worker.Target
	Order  worker.PaceOrder
}

// Plan decides what to order now. May tells whether the tenure still allows it.
func (p *Pool) Plan(now time.Time) Orders {
	p.mu.Lock()
	defer p.mu.Unlock()
	var orders Orders
	if p.fenced {
		return orders
	}
	p.expire(now)
	p.review(now)
	p.evacuate(now)
	p.place(now, &orders)
	p.pace(now, &orders)
	p.stops(now, &orders)
	return orders
}

// expire releases what ran on hosts whose lease has run out unheard.
func (p *Pool) expire(now time.Time) {
	for _, h := range p.hosts {
		if now.Before(h.expiry) {
			continue
		}
		if h.confirmed {
			continue
		}
		p.lapse(h, now)
	}
}

// lapse releases all runs of a host that has certainly ended them.
func (p *Pool) lapse(h *host, now time.Time) {
	for _, r := range h.runs {
		if !r.unsent {
			p.release(r, now, worker.HowLapsed)
		}
	}
	clear(h.foreign)
}

// review stops runs that should not go on.
func (p *Pool) review(now time.Time) {
	for _, h := range p.hosts {
		for _, r := range h.runs {
			switch {
			case r.state == stopping || r.state == inherited:
			case r.task.step.entry.Ended():
				p.stop(r, "job-ended")
			case r.task.done():
				p.stop(r, "task-done")
			case r.state == unsure && now.Sub(r.onAt) > unsurePatience:
				p.stop(r, "unanswered")
			case p.hangs(r, now):
				p.giveUpOn(r, now)
			}
		}
	}
}

// giveUpOn stops a run that hangs, and suspects its host; of a gang nobody can tell
// whose host it is.
func (p *Pool) giveUpOn(r *run, now time.Time) {
	if r.task.step.def.Gang {
		p.stopGang(r.task.step, "hangs")
		return
	}
	r.host.health.suspect(now)
	r.task.avoid = r.host.report.ID
	p.stop(r, "hangs")
}

// hangs tells whether a run stands still, or lasts far longer than declared.
func (p *Pool) hangs(r *run, now time.Time) bool {
	def := r.task.step.def
	if r.state != on || def.LongRunning || def.BestEffort || r.percent < fullSpeed {
		return false
	}
	// A gang's members stand still while they wait for each other.
	if !def.Gang && !r.stillSince.IsZero() && now.Sub(r.stillSince) > stillTime {
		return true
	}
	longest := max(hangFloor, hangFactor*p.learned.of(r.task.step.entry.Queue, def.Estimate))
	if def.OneRack || (def.DataRack != "" && def.DataRack != r.host.report.Rack) {
		longest = time.Duration(float64(longest) * max(1, p.limits.FarFactor))
	}
	return now.Sub(r.onAt) > longest && len(r.task.runs) == 1
}

// stillTime is how long a run may use no processor time; a restore from a
// checkpoint and the coarse gauge need a part of it.
const stillTime = 1500 * time.Millisecond

// mayMiss tells whether ending a long-running task keeps within what its step may
// miss at once, others that are away for any cause counted.
func (p *Pool) mayMiss(s *step, leaving *task, now time.Time) bool {
	if s.def.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		if t != leaving && !p.available(t, now) {
			away++
		}
	}
	return away < s.def.MaxUnavailable
}

// available tells whether a long-running task has been at work for the notice time.
func (p *Pool) available(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if r.state == on && r.host.confirmed && r.percent == fullSpeed && now.Sub(r.onAt) > p.limits.NoticeTime+noticeSlack {
			return true
		}
	}
	return false
}

// noticeSlack covers a task's start-up beyond the notice time.
const noticeSlack = time.Second

// stops sends what is marked for stopping, and sends it again without an effect.
func (p *Pool) stops(now time.Time, orders *Orders) {
	for id, h := range p.hosts {
		target := worker.Target{ID: id, Address: h.report.Address}
		for _, r := range h.runs {
			if r.state != stopping || r.unsent || !r.stopAckedAt.IsZero() || now.Sub(r.stopSentAt) < stopRetry {
				continue
			}
			p.events.Event("run-stop", "task", r.name, "run", r.number, "host", id, "reason", r.stopReason)
			r.stopSentAt = now
			orders.Stops = append(orders.Stops, Stop{
				Target: target, Order: worker.StopOrder{Task: r.name, Run: r.number, Fence: p.fence}, Absent: r.onAt.IsZero() || r.doubted,
			})
		}
		for key, since := range h.foreign {
			if now.Sub(since) < foreignPatience {
				continue
			}
			h.foreign[key] = now
			p.events.Event("run-stop", "task", key.task, "run", key.run, "host", id, "reason", "unknown-job")
			orders.Stops = append(orders.Stops, Stop{Target: target, Order: worker.StopOrder{Task: key.task, Run: key.run, Fence: p.fence}})
		}
	}
}

// Stopped takes the answer to a stop.
func (p *Pool) Stopped(id worker.ID, order worker.StopOrder, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || err != nil {
		return
	}
	// The first answer counts: a list that is asked for after it shows the effect.
	if r, ok := h.runs[runKey{order.Task, order.Run}]; ok && r.stopAckedAt.IsZero() {
		r.stopAckedAt = now
	}
}

// Started takes the answer to a start; err means that it may or may not have
// taken effect, unless notSent is set.
func (p *Pool) Started(id worker.ID, order worker.StartOrder, now time.Time, reply worker.StartReply, notSent bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	h.starting--
	r, ok := h.runs[runKey{order.Task, order.Run}]
	if !ok {
		return
	}
	if err != nil && !notSent {
		p.events.Event("start-unanswered", "task", order.Task, "run", order.Run, "host", id, "error", err)
		if r.state == sending {
			r.state, r.onAt, r.doubted = unsure, now, true
		}
		return
	}
	if err == nil && reply.Refusal == worker.Accepted {
		h.answered(now, reply.Clock)
		if r.state == sending || r.state == unsure {
			r.state, r.onAt = on, now
		}
		return
	}
	p.refused(h, r, order, now, reply.Refusal, err)
}

// refused takes a start that has certainly not taken effect.
func (p *Pool) refused(h *host, r *run, order worker.StartOrder, now time.Time, why worker.Refusal, err error) {
	p.events.Event("start-refused", "task", order.Task, "run", order.Run, "host", h.report.ID, "reason", why, "error", err,
		"free-cpu", h.free().CPU, "free-memory-mb", h.free().MemoryMB)
	t := r.task
	p.release(r, now, worker.HowStopped)
	t.notBefore = now.Add(retryPause)
	switch why {
	case worker.RefusedFence:
		p.setFenced(h.report.ID)
	case worker.RefusedLate, worker.RefusedInvalid:
		h.confirmed = false
		h.pausedUntil = now.Add(roomPause)
	case worker.RefusedRoom:
		h.pausedUntil = now.Add(roomPause)
	case worker.RefusedTicket:
		t.step.dropTicket(h)
	default:
		h.pausedUntil = now.Add(unhealthyPause)
	}
	if t.step.def.Gang && r.number == t.step.gangRun {
		p.stopGang(t.step, "gang-incomplete")
	}
}
