package schedule

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// maxHostsPerQuery is the most hosts in one admission query, from the contract of the
	// admission check.
	maxHostsPerQuery = 100
	// admissionRetry is the pause after an admission query that failed.
	admissionRetry = 300 * time.Millisecond
	// ticketMargin is how long before it expires a ticket stops being used.
	ticketMargin = 200 * time.Millisecond
)

// admissionCheck holds which hosts may run a step, with their tickets.
type admissionCheck struct {
	pending   bool
	notBefore time.Time
	// queried are the hosts whose answer is known, by incarnation; the answer for one
	// incarnation does not change.
	queried map[worker.ID]worker.Life
	tickets map[worker.ID]ticket
}

// ticket is the permission to run a step on one incarnation of a host.
type ticket struct {
	text        string
	incarnation worker.Life
	until       time.Time
}

// Question is an admission query: it asks which hosts may run a step.
type Question struct {
	Step    worker.TaskName
	Workers []worker.ID
}

// ticketFor returns a valid ticket for a host, if there is one.
func (s *step) ticketFor(h *host, now time.Time) (string, bool) {
	if s.admission == nil {
		return "", false
	}
	t, ok := s.admission.tickets[h.report.ID]
	if !ok || t.incarnation != h.incarnation || !now.Before(t.until) {
		return "", false
	}
	return t.text, true
}

// admissionQuery returns a query about the usable hosts whose answer a step lacks, if
// there are any and no other query is in flight.
func (p *Pool) admissionQuery(s *step, now time.Time) (Question, bool) {
	if s.admission == nil {
		s.admission = &admissionCheck{queried: map[worker.ID]worker.Life{}, tickets: map[worker.ID]ticket{}}
	}
	if s.admission.pending || now.Before(s.admission.notBefore) {
		return Question{}, false
	}
	var ids []worker.ID
	for id, h := range p.hosts {
		if h.usable(now) && s.needsAdmissionQuery(h, now) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Question{}, false
	}
	slices.Sort(ids)
	if len(ids) > maxHostsPerQuery {
		ids = ids[:maxHostsPerQuery]
	}
	s.admission.pending = true
	return Question{Step: worker.TaskName{Job: string(s.job.ID), Occurrence: s.occurrence, Step: s.number}, Workers: ids}, true
}

// needsAdmissionQuery reports whether a host's answer is unknown or its ticket has expired.
func (s *step) needsAdmissionQuery(h *host, now time.Time) bool {
	incarnation, known := s.admission.queried[h.report.ID]
	if !known || incarnation != h.incarnation {
		return true
	}
	t, found := s.admission.tickets[h.report.ID]
	return found && !now.Before(t.until)
}

// Advised applies the answer to an admission query sent at sent: the tickets of the
// admitted hosts, which are valid for the given time.
func (p *Pool) Advised(q Question, admitted map[worker.ID]string, valid time.Duration, sent, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[jobID(q.Step)]
	if !ok {
		return
	}
	s := e.step(q.Step.Occurrence, q.Step.Step)
	s.admission.pending = false
	if err != nil {
		s.admission.notBefore = now.Add(admissionRetry)
		p.events.Event("advice-failed", "step", q.Step.StepName(), "hosts", len(q.Workers), "error", err)
		return
	}
	p.events.Event("advised", "step", q.Step.StepName(), "asked", len(q.Workers), "good", len(admitted))
	for _, id := range q.Workers {
		h, ok := p.hosts[id]
		if !ok {
			continue
		}
		s.admission.queried[id] = h.incarnation
		delete(s.admission.tickets, id)
		if text, ok := admitted[id]; ok {
			s.admission.tickets[id] = ticket{text: text, incarnation: h.incarnation, until: sent.Add(valid - ticketMargin)}
		}
	}
}

// dropTicket drops a ticket that a host refused, so that the host is queried again.
func (s *step) dropTicket(h *host) {
	if s.admission == nil {
		return
	}
	delete(s.admission.tickets, h.report.ID)
	delete(s.admission.queried, h.report.ID)
}
