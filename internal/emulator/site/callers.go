package site

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// callerWait is how long a caller waits for an answer.
	callerWait = 3 * time.Second
	// callerTries is how often a caller sends a job.
	callerTries = 5
)

func sortedMachines(machines []*simMachine) []*simMachine {
	slices.SortFunc(machines, func(a, b *simMachine) int { return cmp.Compare(a.name, b.name) })
	return machines
}

// anyHost gives an entry host that takes callers, or nil.
func (s *Site) anyHost() *EntryHost {
	s.mu.Lock()
	var ready []*EntryHost
	for _, h := range s.hosts {
		if h.JobHost != nil {
			ready = append(ready, h)
		}
	}
	s.mu.Unlock()
	ready = slices.DeleteFunc(ready, func(h *EntryHost) bool { return !h.Ready() })
	if len(ready) == 0 {
		return nil
	}
	slices.SortFunc(ready, func(a, b *EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	return ready[s.pick(len(ready))]
}

// SubmitDeclared hands a job in whose tasks are as they declare.
func (s *Site) SubmitDeclared(queueName string, j *job.Job) bool {
	truth := make([]taskTruth, len(j.Steps))
	for n := range j.Steps {
		truth[n] = taskTruth{step: &j.Steps[n], duration: j.Steps[n].Estimate}
	}
	return s.Submit(queueName, j, truth)
}

// Submit hands a job in, with what its tasks really are, and tries again as callers do.
func (s *Site) Submit(queueName string, j *job.Job, truth []taskTruth) bool {
	refused := true
	submitted := false
	for range callerTries {
		h := s.anyHost()
		if h == nil {
			time.Sleep(callerWait / callerTries)
			continue
		}
		c := h.Configuration()
		q := queueNamed(c, queueName)
		if !submitted {
			j.Pool, j.MaxAttempts = q.Pool, q.MaxAttempts
			s.ledger.submit(j, truth)
			submitted = true
		}
		ctx, cancel := context.WithTimeout(context.Background(), callerWait)
		sent := *j
		err := h.Intake().Submit(ctx, c.Version, q, &sent)
		cancel()
		if err == nil {
			s.ledger.accepted(j.ID)
			return true
		}
		refused = refused && verdict.Of(err).Verdict == verdict.NotRun
		time.Sleep(200 * time.Millisecond)
	}
	if submitted && refused {
		s.ledger.refusedAll(j.ID)
	}
	return false
}

func queueNamed(c *queue.Configuration, name string) *queue.Queue {
	n := slices.IndexFunc(c.Queues, func(q queue.Queue) bool { return q.Name == name })
	return &c.Queues[n]
}

// Cancel cancels a job until that is acknowledged.
func (s *Site) Cancel(queueName string, id job.ID) {
	s.ledger.cancelAsked(id)
	for range callerTries {
		if h := s.anyHost(); h != nil {
			ctx, cancel := context.WithTimeout(context.Background(), callerWait)
			known, err := h.Intake().Cancel(ctx, h.Configuration(), queueNamed(h.Configuration(), queueName), id)
			cancel()
			if err == nil {
				if known {
					s.ledger.cancel(id)
				}
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Ask asks for a job's state and notes what is shown.
func (s *Site) Ask(queueName string, id job.ID) job.State {
	h := s.anyHost()
	if h == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	c := h.Configuration()
	state, known, err := h.Intake().State(ctx, c, queueNamed(c, queueName), id)
	if err != nil {
		return ""
	}
	s.ledger.shown(id, state, known)
	return state
}

// JobID makes the nth ID.
func JobID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }
