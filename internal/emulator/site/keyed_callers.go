package site

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// keyBound is the longest time from the publication of a version until its keys are in force, at an entry
// host that the log or a peer answers.
const keyBound = 3 * time.Second

// runningHosts returns all running entry hosts, whether or not they are ready for callers.
func (s *Site) runningHosts() []*EntryHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*EntryHost
	for _, h := range s.hosts {
		if h.JobHost != nil {
			running = append(running, h)
		}
	}
	slices.SortFunc(running, func(a, b *EntryHost) int { return cmp.Compare(a.Name, b.Name) })
	return running
}

// IdentifyCaller returns the caller with a key, as an entry host identifies it now, and checks a refusal.
func (s *Site) IdentifyCaller(h *EntryHost, key, queueName string) (intake.Caller, error) {
	sent := time.Now()
	caller, err := h.Intake().Identify(context.Background(), h, []string{access.Scheme + " " + key}, func(c *queue.Configuration) (*queue.Queue, error) {
		return queueNamed(c, queueName), nil
	})
	if err != nil && verdict.FromError(err).Cause == verdict.CauseUnauthorised {
		s.ledger.keyRefused(h.Name, queue.DigestKey(key), sent)
	}
	return caller, err
}

// keyedCaller does the same, and checks what an entry host in contact with the log accepts.
func (s *Site) keyedCaller(h *EntryHost, key, queueName string) (intake.Caller, error) {
	caller, err := s.IdentifyCaller(h, key, queueName)
	if err == nil && caller.Configuration.RequiresKeys && !caller.Queue.Public {
		s.ledger.keyAccepted(h.Name, queue.DigestKey(key), caller.Organisation)
	}
	return caller, err
}

// SubmitWithKey submits a job once, at a given entry host, as a caller with a key does.
func (s *Site) SubmitWithKey(h *EntryHost, key, queueName string, j *job.Job) error {
	caller, err := s.keyedCaller(h, key, queueName)
	if err != nil {
		return err
	}
	submitted := *j
	submitted.Queue, submitted.Pool, submitted.MaxAttempts = queueName, caller.Queue.Pool, caller.Queue.MaxAttempts
	submitted.Organisation = caller.Organisation
	isFirst := s.ledger.submit(&submitted, declared(&submitted))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	sent := *j
	sent.Steps = slices.Clone(j.Steps)
	err = h.Intake().Submit(ctx, caller, &sent)
	switch {
	case err == nil:
		s.ledger.accepted(j.ID)
	case isFirst && verdict.FromError(err).Verdict == verdict.NotRun:
		s.ledger.refused(j.ID)
	}
	return err
}

// StateWithKey returns the state of a job as a caller with a key is shown it at a given entry host.
func (s *Site) StateWithKey(h *EntryHost, key, queueName string, id job.ID) (state job.State, known bool, err error) {
	caller, err := s.keyedCaller(h, key, queueName)
	if err != nil {
		return "", false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return h.Intake().State(ctx, caller, id)
}

// CancelWithKey cancels a job as a caller with a key does at a given entry host.
func (s *Site) CancelWithKey(h *EntryHost, key, queueName string, id job.ID) (known bool, err error) {
	caller, err := s.keyedCaller(h, key, queueName)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return h.Intake().Cancel(ctx, caller, id)
}
