package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// activate takes a job out of its waiting queue.
func (s *fairShares) activate(e *jobEntry) {
	if e.activeSince == 0 {
		e.activeSince = s.plan
		s.active[e.ID] = e
	}
}

// activeJobs returns the jobs in no waiting queue that have not ended.
func (s *fairShares) activeJobs() map[job.ID]*jobEntry {
	for id, e := range s.active {
		if e.Ended() {
			delete(s.active, id)
		}
	}
	return s.active
}

// placeByShare places tasks that fit: in the order of class, excess and priority, and among these
// for the organisation with the lowest share first.
func (s *fairShares) placeByShare(p *Pool, r *round) {
	s.prepare(p, r)
	for len(s.order.items) > 0 {
		f := s.order.items[0]
		s.placeFirst(p, f, r)
		if f.next(s, r) {
			s.order.fixFirst()
		} else {
			s.order.pop()
		}
	}
	s.reportWaiting(p, r.now)
	// The candidates refer to jobs that may be forgotten before the next plan.
	for _, f := range s.all {
		f.queue.restore()
		f.active.reset()
		f.first, f.source = candidate{}, nil
	}
}

// prepare collects the candidates of each organisation and orders the organisations.
func (s *fairShares) prepare(p *Pool, r *round) {
	s.plan = p.plans
	s.capacity = worker.Resources{}
	for _, h := range p.hosts {
		if h.listed {
			s.capacity = s.capacity.Plus(h.report.Capacity)
		}
	}
	for _, f := range s.all {
		f.bucket.mark(f.queue.remarked)
		f.queue.advance(r.now)
		f.least, f.noRoom = f.queue.least, false
		f.updateLevel(s.capacity)
	}
	eachCandidate(s.activeJobs(), r.now, func(c candidate) {
		f := c.step.job.share
		f.active.items = append(f.active.items, c)
		f.least = leastOf(f.least, c.step.def.Reserved())
	})
	s.order.reset()
	s.served = nil
	for _, f := range s.all {
		f.active.init()
		if f.next(s, r) {
			s.order.items = append(s.order.items, f)
		}
	}
	s.order.init()
}

// next finds the organisation's next candidate and returns false if there is none.
func (f *fairShare) next(s *fairShares, r *round) bool {
	for f.noRoom && len(f.active.items) > 0 && !f.active.items[0].triedWithoutRoom(r.lowest) {
		f.active.pop()
	}
	f.source = f.queue.first(s, f.noRoom, r.lowest)
	if len(f.active.items) > 0 && (f.source == nil || sharesBefore(f.active.items[0], f.source.items[0])) {
		f.source = &f.active
	}
	if f.source == nil {
		return false
	}
	f.first = f.source.items[0]
	return true
}

// placeFirst places the organisation's next candidate if there is room.
func (s *fairShares) placeFirst(p *Pool, f *fairShare, r *round) {
	c := f.source.pop()
	if f.source != &f.active {
		if !c.step.hasStartable(r.now) {
			s.activate(c.step.job)
			return
		}
		c.step.triedIn = s.plan
		f.queue.tried = append(f.queue.tried, c)
	}
	before := f.used
	fits := p.placeCandidate(c, r)
	if next, ok := c.following(); ok {
		f.active.push(next)
	}
	f.updateLevel(s.capacity)
	if f.used != before {
		s.served = f
	}
	if !r.waiting || f.noRoom {
		return
	}
	f.waiting = c.step.job.ID
	f.noRoom = r.unplaced.excludesDemand(f.least) || (!fits && !p.hasRoom(f.least, r.now))
}

// hasRoom reports whether a host that takes tasks has so much free.
func (p *Pool) hasRoom(needs worker.Resources, now time.Time) bool {
	for _, h := range p.hosts {
		if needs.Fits(h.free()) && p.usable(h, false, now) && !h.onTrial() && p.capacityKnown(h, now) {
			return true
		}
	}
	return false
}

// triedWithoutRoom reports whether a candidate has to be tried also if no host has room for it:
// for the placement check, or because it may preempt others or has room reserved.
func (c *candidate) triedWithoutRoom(lowest int) bool {
	return c.step.def.LongRunning || c.step.job.NeedsPlacementCheck || c.urgency().mayPreempt(lowest)
}

// before orders organisations by their next candidates, and by their shares where those are equally
// urgent.
func (f *fairShare) before(o *fairShare) bool {
	if c := f.first.urgency().compare(o.first.urgency()); c != 0 {
		return c < 0
	}
	if f.level != o.level {
		return f.level < o.level
	}
	return compareCandidates(f.first, o.first) < 0
}
