package schedule

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// maxHostsPerQuery is the most hosts in one placement query, from the contract of the
	// placement check.
	maxHostsPerQuery = 100
	// placementRetry is the pause after a placement query that failed.
	placementRetry = 300 * time.Millisecond
	// ticketMargin is how long before it expires a ticket stops being used.
	ticketMargin = 200 * time.Millisecond
)

// placementCheck holds which hosts may run a step, with their tickets.
type placementCheck struct {
	pending bool
	// advised is set once a query was answered.
	advised   bool
	notBefore time.Time
	// answered maps each host whose answer is known to the incarnation that it applies to;
	// the answer for one incarnation does not change.
	answered map[worker.ID]worker.Incarnation
	tickets  map[worker.ID]ticket
}

// ticket is the permission to run a step on one incarnation of a host.
type ticket struct {
	text        string
	incarnation worker.Incarnation
	until       time.Time
}

// PlacementQuery is a placement query: it asks which hosts may run a step.
type PlacementQuery struct {
	Step    worker.TaskName
	Workers []worker.ID
}

// ticketFor returns a valid ticket for a host, if there is one.
func (s *step) ticketFor(h *host, now time.Time) (string, bool) {
	if s.placementCheck == nil {
		return "", false
	}
	t, ok := s.placementCheck.tickets[h.report.ID]
	if !ok || t.incarnation != h.incarnation || !now.Before(t.until) {
		return "", false
	}
	return t.text, true
}

// placementQuery returns a query about the usable hosts whose answer a step lacks, if
// there are any and no other query is in flight.
func (p *Pool) placementQuery(s *step, now time.Time) (PlacementQuery, bool) {
	if s.placementCheck == nil {
		s.job.noteActive(s)
		s.job.unadvised++
		s.placementCheck = &placementCheck{answered: map[worker.ID]worker.Incarnation{}, tickets: map[worker.ID]ticket{}}
	}
	if s.placementCheck.pending || now.Before(s.placementCheck.notBefore) {
		return PlacementQuery{}, false
	}
	var ids []worker.ID
	for id, h := range p.hosts {
		if p.usable(h, s.def.Gang, now) && s.needsPlacementQuery(h, now) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return PlacementQuery{}, false
	}
	slices.Sort(ids)
	if len(ids) > maxHostsPerQuery {
		ids = ids[:maxHostsPerQuery]
	}
	s.placementCheck.pending = true
	return PlacementQuery{Step: worker.TaskName{Job: string(s.job.ID), Occurrence: s.occurrence, Step: s.number}, Workers: ids}, true
}

// unadvised reports whether the step waits for the first answer of the placement check.
func (s *step) unadvised() bool { return s.placementCheck != nil && !s.placementCheck.advised }

// needsPlacementQuery reports whether a host's answer is unknown or its ticket has expired.
func (s *step) needsPlacementQuery(h *host, now time.Time) bool {
	incarnation, known := s.placementCheck.answered[h.report.ID]
	if !known || incarnation != h.incarnation {
		return true
	}
	t, found := s.placementCheck.tickets[h.report.ID]
	return found && !now.Before(t.until)
}

// ApplyPlacementCheck applies the answer to a placement query sent at sent: the tickets of
// the allowed hosts, which are valid for the given time.
func (p *Pool) ApplyPlacementCheck(q PlacementQuery, tickets map[worker.ID]string, valid time.Duration, sent, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[jobID(q.Step)]
	if !ok {
		return
	}
	o, ok := e.occurrences[q.Step.Occurrence]
	if !ok || o.steps[q.Step.Step] == nil || o.steps[q.Step.Step].placementCheck == nil {
		// The occurrence is done.
		return
	}
	s := o.steps[q.Step.Step]
	s.placementCheck.pending = false
	if err != nil {
		s.placementCheck.notBefore = now.Add(placementRetry)
		p.events.Event("advice-failed", "step", q.Step.StepName(), "hosts", len(q.Workers), "error", err)
		return
	}
	if s.unadvised() {
		s.placementCheck.advised = true
		e.unadvised--
	}
	p.events.Event("advised", "step", q.Step.StepName(), "asked", len(q.Workers), "good", len(tickets))
	for _, id := range q.Workers {
		h, ok := p.hosts[id]
		if !ok {
			continue
		}
		s.placementCheck.answered[id] = h.incarnation
		delete(s.placementCheck.tickets, id)
		if text, ok := tickets[id]; ok {
			s.placementCheck.tickets[id] = ticket{text: text, incarnation: h.incarnation, until: sent.Add(valid - ticketMargin)}
		}
	}
}

// dropTicket drops a ticket that a host refused, so that the host is queried again.
func (s *step) dropTicket(h *host) {
	if s.placementCheck == nil {
		return
	}
	delete(s.placementCheck.tickets, h.report.ID)
	delete(s.placementCheck.answered, h.report.ID)
}
