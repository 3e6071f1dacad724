package schedule

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// adviceAtOnce is the most hosts named in one question, from the advice contract.
	adviceAtOnce = 100
	// adviceRetry is the pause after a question that failed.
	adviceRetry = 300 * time.Millisecond
	// ticketSlack is how long before its end a ticket is not used any more.
	ticketSlack = 200 * time.Millisecond
)

// advice is which hosts may run a step, with their tickets.
type advice struct {
	asking    bool
	notBefore time.Time
	// asked are the hosts whose answer is known; the answer does not change.
	asked   map[worker.ID]worker.Life
	tickets map[worker.ID]ticket
}

// ticket is the right to run a step on one life of a host.
type ticket struct {
	text  string
	life  worker.Life
	until time.Time
}

// Question asks which hosts may run a step.
type Question struct {
	Step    worker.TaskName
	Workers []worker.ID
}

// ticketFor gives a valid ticket for a host.
func (s *step) ticketFor(h *host, now time.Time) (string, bool) {
	if s.advice == nil {
		return "", false
	}
	t, ok := s.advice.tickets[h.report.ID]
	if !ok || t.life != h.life || !now.Before(t.until) {
		return "", false
	}
	return t.text, true
}

// question names the hosts that a step needs to know about, if any.
func (p *Pool) question(s *step, now time.Time) (Question, bool) {
	if s.advice == nil {
		s.advice = &advice{asked: map[worker.ID]worker.Life{}, tickets: map[worker.ID]ticket{}}
	}
	if s.advice.asking || now.Before(s.advice.notBefore) {
		return Question{}, false
	}
	var ids []worker.ID
	for id, h := range p.hosts {
		if h.usable(now) && s.wantsAdvice(h, now) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Question{}, false
	}
	slices.Sort(ids)
	if len(ids) > adviceAtOnce {
		ids = ids[:adviceAtOnce]
	}
	s.advice.asking = true
	return Question{Step: worker.TaskName{Job: string(s.entry.ID), Occurrence: s.occurrence, Step: s.number}, Workers: ids}, true
}

// wantsAdvice tells whether a host's answer is unknown or its ticket has run out.
func (s *step) wantsAdvice(h *host, now time.Time) bool {
	life, asked := s.advice.asked[h.report.ID]
	if !asked || life != h.life {
		return true
	}
	t, good := s.advice.tickets[h.report.ID]
	return good && !now.Before(t.until)
}

// Advised takes the answer to a question asked at sent: tickets of the good hosts.
func (p *Pool) Advised(q Question, good map[worker.ID]string, valid time.Duration, sent, now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[jobID(q.Step)]
	if !ok {
		return
	}
	s := e.step(q.Step.Occurrence, q.Step.Step)
	s.advice.asking = false
	if err != nil {
		s.advice.notBefore = now.Add(adviceRetry)
		p.events.Event("advice-failed", "step", q.Step.StepName(), "hosts", len(q.Workers), "error", err)
		return
	}
	p.events.Event("advised", "step", q.Step.StepName(), "asked", len(q.Workers), "good", len(good))
	for _, id := range q.Workers {
		h, ok := p.hosts[id]
		if !ok {
			continue
		}
		s.advice.asked[id] = h.life
		delete(s.advice.tickets, id)
		if text, ok := good[id]; ok {
			s.advice.tickets[id] = ticket{text: text, life: h.life, until: sent.Add(valid - ticketSlack)}
		}
	}
}

// dropTicket forgets a ticket that a host refused.
func (s *step) dropTicket(h *host) {
	if s.advice == nil {
		return
	}
	delete(s.advice.tickets, h.report.ID)
	delete(s.advice.asked, h.report.ID)
}
