package site

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 3 * time.Second
	// callerAttempts is how many times a caller tries to submit or cancel a job.
	callerAttempts = 5
)

func sortedMachines(machines []*simMachine) []*simMachine {
	slices.SortFunc(machines, func(a, b *simMachine) int { return cmp.Compare(a.name, b.name) })
	return machines
}

// randomReadyHost returns a random entry host that is ready for callers, or nil.
func (s *Site) randomReadyHost() *EntryHost {
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
	return ready[s.randomIndex(len(ready))]
}

// SubmitDeclared submits a job whose tasks behave as declared, and reports whether it
// was accepted.
func (s *Site) SubmitDeclared(queueName string, j *job.Job) bool {
	return s.Submit(queueName, j, declared(j))
}

// declared returns the behaviour that a job declares for its tasks.
func declared(j *job.Job) []taskBehaviour {
	actual := make([]taskBehaviour, len(j.Steps))
	for n := range j.Steps {
		actual[n] = taskBehaviour{step: &j.Steps[n], duration: j.Steps[n].Estimate}
	}
	return actual
}

// Submit submits a job whose tasks behave as given, retries as callers do, and reports
// whether it was accepted.
func (s *Site) Submit(queueName string, j *job.Job, actual []taskBehaviour) bool {
	refused := true
	submitted := false
	for range callerAttempts {
		h := s.randomReadyHost()
		if h == nil {
			time.Sleep(callerTimeout / callerAttempts)
			continue
		}
		c := h.Configuration()
		q := queueNamed(c, queueName)
		if !submitted {
			j.Queue, j.Pool, j.MaxAttempts = queueName, q.Pool, q.MaxAttempts
			s.ledger.submit(j, actual)
			submitted = true
		}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		sent := *j
		sent.Steps = slices.Clone(j.Steps)
		err := h.Intake().Submit(ctx, intake.Caller{Configuration: c, Queue: q, Organisation: sent.Organisation}, &sent)
		cancel()
		if err == nil {
			s.ledger.accepted(j.ID)
			return true
		}
		refused = refused && verdict.FromError(err).Verdict == verdict.NotRun
		time.Sleep(200 * time.Millisecond)
	}
	if submitted && refused {
		s.ledger.refused(j.ID)
	}
	return false
}

// SubmitBy submits a job once, at an entry host that uses a configuration, and reports whether it
// was accepted.
func (s *Site) SubmitBy(c *queue.Configuration, queueName string, j *job.Job) bool {
	h := s.randomReadyHost()
	if h == nil {
		return false
	}
	q := queueNamed(c, queueName)
	sent := *j
	sent.Queue, sent.Pool, sent.MaxAttempts = queueName, q.Pool, q.MaxAttempts
	s.ledger.submit(&sent, declared(j))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	again := *j
	again.Steps = slices.Clone(j.Steps)
	if err := h.Intake().Submit(ctx, intake.Caller{Configuration: c, Queue: q, Organisation: again.Organisation}, &again); err != nil {
		return false
	}
	s.ledger.accepted(j.ID)
	return true
}

// Waiting returns the number of a queue's jobs that wait, as an entry host shows it; -1 if it
// doesn't.
func (s *Site) Waiting(queueName string) int {
	h := s.randomReadyHost()
	if h == nil {
		return -1
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	waiting, err := h.Intake().Waiting(ctx, queueNamed(h.Configuration(), queueName))
	if err != nil {
		return -1
	}
	return waiting
}

func queueNamed(c *queue.Configuration, name string) *queue.Queue {
	n := slices.IndexFunc(c.Queues, func(q queue.Queue) bool { return q.Name == name })
	return &c.Queues[n]
}

// Cancel requests a job's cancellation, with retries until it is acknowledged.
func (s *Site) Cancel(queueName string, id job.ID) {
	s.ledger.cancelRequested(id)
	for range callerAttempts {
		if h := s.randomReadyHost(); h != nil {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			c := h.Configuration()
			_, err := h.Intake().Cancel(ctx, s.callerOfJob(c, queueName, id), id)
			cancel()
			if err == nil {
				// Also one that was answered before the submission came.
				s.ledger.cancelAcknowledged(id)
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// JobState queries a job's state and records the answer in the ledger. It returns an empty
// state if there is no answer.
func (s *Site) JobState(queueName string, id job.ID) job.State {
	h := s.randomReadyHost()
	if h == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	c := h.Configuration()
	state, known, err := h.Intake().State(ctx, s.callerOfJob(c, queueName, id), id)
	if err != nil {
		return ""
	}
	s.ledger.shown(id, state, known)
	return state
}

// callerOfJob returns the caller that submitted a job.
func (s *Site) callerOfJob(c *queue.Configuration, queueName string, id job.ID) intake.Caller {
	return intake.Caller{Configuration: c, Queue: queueNamed(c, queueName), Organisation: s.ledger.organisationOf(id)}
}

// JobID returns the job ID with a number.
func JobID(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }
