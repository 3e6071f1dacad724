package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// round is one pass over the candidates.
type round struct {
	now    time.Time
	orders *Orders
	// lowest is the priority of the least urgent job that has runs.
	lowest   int
	unplaced unplacedDemands
	// open are the hosts on which tasks may be started in this plan if they have room.
	open []*host
	// waiting is set once a candidate could not be placed.
	waiting bool
}

// place places the tasks that fit, the most urgent first.
func (p *Pool) place(now time.Time, orders *Orders) {
	p.plans++
	r := round{now: now, orders: orders, lowest: p.leastUrgentPriority()}
	p.placeSuspects(now, orders)
	r.open = p.openHosts(now)
	if p.shares != nil {
		p.shares.placeByShare(p, &r)
	} else {
		p.placeInOrder(p.candidates(now), &r)
	}
	p.reportQuotas(now)
	if r.waiting {
		p.reportBlocked(now)
		return
	}
	p.startCopies(now, orders)
}

// placeInOrder places the tasks of candidates, which are in order, and of those that follow them.
func (p *Pool) placeInOrder(found []candidate, r *round) {
	following := minHeap[candidate]{less: func(a, b candidate) bool { return compareCandidates(a, b) < 0 }}
	for len(found)+len(following.items) > 0 {
		var c candidate
		if len(found) == 0 || (len(following.items) > 0 && following.less(following.items[0], found[0])) {
			c = following.pop()
		} else {
			c, found = found[0], found[1:]
		}
		p.placeCandidate(c, r)
		if next, ok := c.following(); ok {
			following.push(next)
		}
	}
}

// placeCandidate places the tasks of a candidate if there is room. It reports whether all could be
// placed or have no room by what was tried before.
func (p *Pool) placeCandidate(c candidate, r *round) bool {
	if c.step.job.NeedsPlacementCheck {
		if q, ok := p.placementQuery(c.step, r.now); ok {
			r.orders.PlacementQueries = append(r.orders.PlacementQueries, q)
		}
	}
	switch {
	case c.step.def.Gang && c.step.job.organisation != nil && !p.admitsGang(c.step, r.now):
		// The quota keeps it waiting, not the lack of room.
	case c.step.def.Gang:
		r.waiting = !p.placeGang(c, r.now, r.orders) || r.waiting
	case r.unplaced.excludes(c.step):
		r.waiting = true
	case !p.placeTasks(c, r):
		r.waiting = true
		r.unplaced.add(c.step)
		if c.urgency().mayPreempt(r.lowest) {
			p.preempt(c, r.now)
		}
		return false
	}
	return true
}

// placeTasks places a step's tasks one by one and reports whether there was room for all that the
// quota admits.
func (p *Pool) placeTasks(c candidate, r *round) bool {
	now, choice := r.now, p.newHostChoice(c.step, r)
	for t := range c.step.startable(now) {
		if c.step.job.organisation != nil && !p.admitsNow(t, now) {
			if !t.kept() {
				// The others without state are alike.
				break
			}
			continue
		}
		h := p.unreserve(t)
		if h != nil {
			choice.changed(h)
		}
		if h == nil || !p.allowed(t.step, h, now) {
			h = choice.best(t)
		}
		if h == nil {
			return false
		}
		p.start(t, h, t.nextRunNumber(p.token), now, r.orders)
		choice.changed(h)
	}
	return true
}

// nextRunNumber returns a run number above all earlier ones of the task, including those
// of earlier owners.
func (t *task) nextRunNumber(token worker.FencingToken) int64 {
	return max(t.lastRun+1, int64(token)<<runNumberBits)
}

// bestHost returns the allowed host with the highest score for a task, or nil; the lowest
// ID wins a tie.
func (p *Pool) bestHost(t *task, now time.Time) *host {
	best := p.highestScore(t, now)
	if best != nil && p.neighbours.avoids() {
		p.noteChoice(t, best, now)
	}
	return best
}

func (p *Pool) highestScore(t *task, now time.Time) *host {
	var best *host
	bestScore := 0.0
	for _, h := range p.hosts {
		if !p.allowed(t.step, h, now) {
			continue
		}
		score := p.score(t, h, now)
		if best == nil || score > bestScore || (score == bestScore && h.report.ID < best.report.ID) {
			best, bestScore = h, score
		}
	}
	return best
}

// allowed reports whether a task of a step may be started on a host now.
func (p *Pool) allowed(s *step, h *host, now time.Time) bool {
	p.work.HostChecks++
	if !p.usable(h, s.def.Gang, now) || h.onTrial() || !p.capacityKnown(h, now) || !s.def.Reserved().Fits(h.free()) {
		return false
	}
	if !h.hasLabelFor(s) {
		return false
	}
	if s.def.MaxPerHost > 0 && h.stepRuns(s)+h.reservedFor(s) >= s.def.MaxPerHost {
		return false
	}
	if s.job.NeedsPlacementCheck {
		if _, ok := s.ticketFor(h, now); !ok {
			return false
		}
	}
	return true
}

// start places a run on a host; the start order goes out once the placement is recorded.
func (p *Pool) start(t *task, h *host, number int64, now time.Time, orders *Orders) *run {
	e := t.step.job
	r := &run{
		task: t, name: t.name(), number: number, host: h, needs: t.step.def.Reserved(), state: stateRecording, unsent: true,
		sentAt: now, resumed: t.resumesFrom() != "", speed: fullSpeed, speedSent: fullSpeed, checkpoint: t.resumesFrom(),
		placedAt: h.clockNow(now), earlierHangs: t.hangs,
	}
	p.noteQuotaWait(t)
	p.attach(r)
	p.work.Placed++
	h.startsInFlight++
	h.lastStart = now
	e.started = true
	p.markDirty(e)
	orders.HasPlacements = true
	return r
}
