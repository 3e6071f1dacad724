package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Orders are the orders and queries to send after a plan. Starts follow once their
// placements are recorded; see Recorded.
type Orders struct {
	// HasPlacements is set when new placements wait to be recorded.
	HasPlacements bool
	// HasGivenUp is set when jobs were given up, whose state waits to be recorded.
	HasGivenUp       bool
	Stops            []Stop
	Throttles        []Throttle
	PlacementQueries []PlacementQuery
	// RunQueries are the hosts to be asked at once what they run.
	RunQueries []worker.Target
}

// Start is a start order and the host that it goes to.
type Start struct {
	Target worker.Target
	Order  worker.StartOrder
}

// Stop is a stop order and the host that it goes to.
type Stop struct {
	Target worker.Target
	Order  worker.StopOrder
	// MayBeAbsent is set when the host may not have the run and so may never list its end;
	// after the stop, the host has to be asked what it runs.
	MayBeAbsent bool
}

// Throttle is an order that throttles a best-effort run and the host that it goes to.
type Throttle struct {
	Target worker.Target
	Order  worker.ThrottleOrder
}

// Plan decides what to order now. The caller checks that its tenure still allows it
// to act; a fenced pool orders nothing.
func (p *Pool) Plan(now time.Time) Orders {
	p.mu.Lock()
	defer p.mu.Unlock()
	var orders Orders
	if p.fenced {
		return orders
	}
	p.work.Plans++
	p.expireLeases(now)
	p.expireReservations(now)
	p.countPending(now)
	p.clearSuspicions()
	p.weighSuspicion(now)
	p.stopUnneeded(now)
	p.evacuate(now)
	if p.neighbours != nil {
		p.updateNeighbours(now)
		if p.neighbours.avoids() {
			p.separate(now)
		}
	}
	p.place(now, &orders)
	p.queryTrials(now, &orders)
	p.throttle(now, &orders)
	p.planStops(now, &orders)
	orders.HasGivenUp, p.hasGivenUp = p.hasGivenUp, false
	return orders
}

// expireLeases releases the runs on unresponsive hosts whose leases have expired.
func (p *Pool) expireLeases(now time.Time) {
	for _, h := range p.hosts {
		if h.confirmed || now.Before(h.expiry) {
			continue
		}
		ended := p.expiredRuns(h, now)
		p.logExpiry(h, len(ended))
		if h.fellSilentAtStart() && len(ended) > 0 {
			p.hostCrashed(h, now, now)
		} else {
			p.keepLapsed(h, ended, now)
		}
		p.releaseAll(h, ended, now)
	}
}

// logExpiry logs by what the leases of a host with runs are taken for expired.
func (p *Pool) logExpiry(h *host, ended int) {
	if ended == 0 {
		return
	}
	p.events.Event("host-expired", "host", h.report.ID, "pool", p.name, "runs", ended, "may-begin-late", len(h.runs)-ended, "life", h.incarnation,
		"life-known", h.incarnationAt, "sealed", h.fence.sealed, "restart-seen", h.restartSeenAt, "contacted", h.contactedAt, "heard", h.heardAt,
		"expiry", h.expiry, "unanswered", len(h.unanswered))
}

// expiredRuns returns the runs of a host whose leases have expired, without those that its next
// incarnation may have begun late.
func (p *Pool) expiredRuns(h *host, now time.Time) []*run {
	allExpired := !now.Before(h.fence.lateUntil.Add(p.limits.maxGrantedDuration()))
	return h.runsWhere(func(r *run) bool {
		_, mayBegin := r.mayBeginLate()
		return !r.unsent && (!mayBegin || allExpired)
	})
}

// releaseAll releases runs that have certainly ended with the lease of their host.
func (p *Pool) releaseAll(h *host, ended []*run, now time.Time) {
	for _, r := range ended {
		p.release(r, now, worker.OutcomeLeaseExpired)
	}
	clear(h.unknownRuns)
}

// stopUnneeded stops runs whose job has ended for later owners as well, whose task is done,
// whose start stayed without an answer, or that hang.
func (p *Pool) stopUnneeded(now time.Time) {
	for _, h := range p.hosts {
		for _, r := range h.runs {
			switch {
			case r.state == stateStopping || r.state == stateInherited:
			case r.task.step.job.endRecorded():
				p.stop(r, "job-ended")
			case r.task.done():
				p.stop(r, "task-done")
			case r.state == stateUnknown && now.Sub(r.startedAt) > unknownStartTimeout:
				p.stop(r, reasonUnanswered)
				p.stopGangOf(r, "gang-incomplete")
			case p.hangs(r, now):
				p.stopHanging(r, now)
			}
		}
	}
}

// withinMaxUnavailable reports whether a long-running task may be ended without
// exceeding its step's MaxUnavailable, counting tasks that are unavailable for any cause.
func (p *Pool) withinMaxUnavailable(s *step, leaving *task, now time.Time) bool {
	if s.def.MaxUnavailable == 0 {
		return true
	}
	unavailable := s.def.Tasks - 1
	for _, t := range s.tasks {
		if t != leaving && p.available(t, now) {
			unavailable--
		}
	}
	return unavailable < s.def.MaxUnavailable
}

// available reports whether a host has listed a long-running task as at work, so recently
// that it can't have been down for NoticeTime meanwhile.
func (p *Pool) available(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if r.state == stateRunning && r.atWork && r.host.confirmed && now.Sub(r.host.heardAt) < p.limits.maxReportAge() {
			return true
		}
	}
	return false
}

// planStops orders the stops that are due, and repeats those without an answer or effect.
func (p *Pool) planStops(now time.Time, orders *Orders) {
	for id, h := range p.hosts {
		target := worker.Target{ID: id, Address: h.report.Address}
		for _, r := range h.runs {
			if r.state != stateStopping || r.unsent || r.stopQueued || !r.stopAckedAt.IsZero() || now.Sub(r.stopSentAt) < stopRetry {
				continue
			}
			p.events.Event("run-stop", "task", r.name, "run", r.number, "host", id, "reason", r.stopReason)
			r.stopQueued = true
			orders.Stops = append(orders.Stops, Stop{
				Target: target, Order: worker.StopOrder{Task: r.name, Run: r.number}, MayBeAbsent: r.mayBeAbsent(),
			})
		}
		for key, since := range h.unknownRuns {
			if now.Sub(since) < unknownRunTimeout {
				continue
			}
			h.unknownRuns[key] = now
			p.events.Event("run-stop", "task", key.task, "run", key.run, "host", id, "reason", "unknown-job")
			orders.Stops = append(orders.Stops, Stop{Target: target, Order: worker.StopOrder{Task: key.task, Run: key.run}})
		}
	}
}

// mayBeAbsent reports whether the host may not have begun a run whose start was sent.
func (r *run) mayBeAbsent() bool { return r.startedAt.IsZero() || r.unconfirmed }

// Stopped applies the answer to a stop that was sent at sent. The answer of an earlier incarnation
// does not bind the present one.
func (p *Pool) Stopped(id worker.ID, order worker.StopOrder, sent, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[id]
	if !ok || err != nil || sent.Before(h.incarnationAt) {
		return
	}
	key := runKey{order.Task, order.Run}
	// Keep the time of the first answer: a list requested after it reflects the stop.
	if r, ok := h.runs[key]; ok && r.stopAckedAt.IsZero() {
		r.stopAckedAt = now
	}
}

// Started applies the answer to a start. With err set, the run may or may not have
// started, unless notSent is set, which means that it certainly has not.
func (p *Pool) Started(id worker.ID, order worker.StartOrder, now time.Time, reply worker.StartReply, notSent bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := runKey{order.Task, order.Run}
	if err == nil || notSent {
		p.startAnswered(id, key)
	}
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	h.startsInFlight--
	r, ok := h.runs[key]
	if !ok {
		return
	}
	if err != nil && !notSent {
		p.events.Event("start-unanswered", "task", order.Task, "run", order.Run, "host", id, "error", err)
		p.raiseFence(h)
		if r.state == stateSending {
			r.state, r.startedAt, r.unconfirmed = stateUnknown, now, true
		}
		return
	}
	switch {
	case err != nil || r.sentAt.Before(h.incarnationAt):
	case h.clockWentBack(r.sentAt, reply.Clock):
		r.onNext = true
		p.restartSeen(h, now)
	default:
		h.updateClock(now, reply.Clock)
	}
	if err == nil && reply.Refusal == worker.Accepted {
		if r.state == stateSending || r.state == stateUnknown {
			r.state, r.startedAt, r.task.step.job.begun = stateRunning, now, true
		}
		return
	}
	p.startRefused(h, r, order, now, reply.Refusal, err)
}

// startRefused handles a start that has certainly not taken effect.
func (p *Pool) startRefused(h *host, r *run, order worker.StartOrder, now time.Time, refusal worker.Refusal, err error) {
	p.events.Event("start-refused", "task", order.Task, "run", order.Run, "host", h.report.ID, "reason", refusal, "error", err,
		"free-cpu", h.free().CPU, "free-memory-mb", h.free().MemoryMB)
	t := r.task
	p.release(r, now, worker.OutcomeStopped)
	t.notBefore = now.Add(retryPause)
	switch refusal {
	case worker.RefusedFenced:
		p.refusedByFence(h, order.Token)
	case worker.RefusedLeaseExpired, worker.RefusedInvalid:
		h.confirmed = false
		h.pausedUntil = now.Add(capacityPause)
	case worker.RefusedCapacity:
		h.pausedUntil = now.Add(capacityPause)
	case worker.RefusedTicket:
		t.step.dropTicket(h)
	default:
		h.pausedUntil = now.Add(unhealthyPause)
	}
	if t.step.def.Gang && r.number == t.step.gangRun {
		p.stopGang(t.step, "gang-incomplete")
	}
}
