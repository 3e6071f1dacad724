// Package intake serves callers' requests about jobs at any entry host: it submits jobs,
// returns their state, and cancels them.
package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// ownerRetryPause is the pause before an unavailable owner is queried again.
	ownerRetryPause = 100 * time.Millisecond
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter = time.Second
)

// Recorder adds records to the log. Its errors carry a verdict.
type Recorder interface {
	Submit(ctx context.Context, j *job.Job) error
	Cancel(ctx context.Context, partition int, id job.ID) error
	// Revoke records the cancel of a job that the partition may not know yet.
	Revoke(ctx context.Context, partition int, id job.ID, r Revocation) error
}

// OwnerClient queries the owners of the partitions that hold the pools' jobs; ok is false while
// an owner is unknown or unavailable, or has not read all its records.
type OwnerClient interface {
	// Partitions returns all partitions, that of a pool first.
	Partitions(pool string) []int
	State(ctx context.Context, partition int, id job.ID) (status Status, known, ok bool)
	// Waiting takes the pool and the address of a queue.
	Waiting(ctx context.Context, pool, queue string) (waiting int, ok bool)
}

// Status is what callers may see of a job.
type Status struct {
	State job.State
	// Organisation is the only one that may see the job; empty if all may.
	Organisation string
}

// Revocation cancels a job that may still come, if the caller may see it then.
type Revocation struct {
	At    time.Time
	Scope Scope
}

// Scope is which jobs a caller may see.
type Scope struct {
	// Restricted is set if those are only the jobs of no organisation and of Organisation.
	Restricted   bool
	Organisation string
}

// Sees reports whether a job is among them.
func (s Scope) Sees(status Status) bool {
	return !s.Restricted || status.Organisation == "" || status.Organisation == s.Organisation
}

// Caller is who calls, by which configuration, and about which queue.
type Caller struct {
	Configuration *queue.Configuration
	Queue         *queue.Queue
	// Organisation is that of the caller's key, or empty.
	Organisation string
}

// restricted reports whether the caller may see some jobs only.
func (c *Caller) restricted() bool { return c.Configuration.RequiresKeys }

func (c *Caller) scope() Scope { return Scope{c.restricted(), c.Organisation} }

// Events logs one structured line per request.
type Events interface {
	Event(name string, pairs ...any)
}

// Intake serves callers' requests about jobs at one entry host.
type Intake struct {
	recorder Recorder
	owners   OwnerClient
	events   Events
	now      func() time.Time
}

// New creates an intake.
func New(recorder Recorder, owners OwnerClient, events Events, now func() time.Time) *Intake {
	return &Intake{recorder: recorder, owners: owners, events: events, now: now}
}

// Submit copies the queue's settings and the organisation into the job and returns nil once the job's record is
// in the log. If the verdict of an error is NotRun, the job is refused; otherwise it may run.
func (i *Intake) Submit(ctx context.Context, caller Caller, j *job.Job) error {
	q, version := caller.Queue, caller.Configuration.Version
	j.Organisation = caller.Organisation
	j.Queue, j.Pool, j.Priority, j.MaxAttempts = q.Name, q.Pool, q.Priority, max(1, q.MaxAttempts)
	j.Stretch, j.LatencyTarget, j.NeedsPlacementCheck = q.Stretch, q.LatencyTarget, q.NeedsPlacementCheck
	j.QueueAddress, j.ConfigVersion, j.AcceptedAt = q.Address(), version, i.now()
	j.Limit()
	if err := j.Validate(); err != nil {
		i.events.Event("job-refused", "job", j.ID, "queue", q.Name, "config", version, "error", err)
		return verdict.NotRunError(verdict.CauseBadRequest, err.Error())
	}
	err := i.recorder.Submit(ctx, j)
	pairs := []any{
		"job", j.ID, "queue", q.Name, "pool", q.Pool, "config", version, "steps", len(j.Steps), "took", i.now().Sub(j.AcceptedAt), "error", err,
	}
	if j.Organisation != "" {
		pairs = append(pairs, "organisation", j.Organisation)
	}
	i.events.Event("job-submitted", pairs...)
	return err
}

// State returns a job's state, and whether the caller may know of it. A job is unknown only if the
// owners of all partitions say so, since the queue may have been moved to another pool.
func (i *Intake) State(ctx context.Context, caller Caller, id job.ID) (job.State, bool, error) {
	q, version := caller.Queue, caller.Configuration.Version
	found, ok := i.searchUntilAnswered(ctx, &caller, id)
	if !ok {
		i.events.Event("state-unknown", "job", id, "queue", q.Name, "config", version, "pool", q.Pool)
		return "", false, ownerUnavailable(q)
	}
	i.events.Event("state-asked", "job", id, "queue", q.Name, "config", version, "state", found.state, "known", found.known, "hidden", found.hidden)
	return found.state, found.known, nil
}

// searchUntilAnswered searches for a job until the owners have answered; ok is false if ctx ends first.
func (i *Intake) searchUntilAnswered(ctx context.Context, caller *Caller, id job.ID) (jobLookup, bool) {
	for {
		found, ok := i.search(ctx, caller, id)
		if found.known || ok {
			return found, true
		}
		if pause.For(ctx, ownerRetryPause) != nil {
			return jobLookup{}, false
		}
	}
}

func ownerUnavailable(q *queue.Queue) error {
	return verdict.NotRunError(verdict.CauseNotServing, fmt.Sprintf("the owner of pool %s does not answer; try again", q.Pool))
}

// jobLookup is the result of a search for a job: its state and the partition that has it.
type jobLookup struct {
	partition int
	state     job.State
	known     bool
	// hidden is set if there is such a job that the caller must not see.
	hidden bool
}

// search queries the owner of the queue's partition first, then those of the others, for a job that
// the caller may see; ok is true if all queried owners have answered.
func (i *Intake) search(ctx context.Context, caller *Caller, id job.ID) (jobLookup, bool) {
	all, hidden := true, false
	for n, partition := range i.owners.Partitions(caller.Queue.Pool) {
		status, known, ok := i.owners.State(ctx, partition, id)
		switch {
		case known && caller.scope().Sees(status):
			return jobLookup{partition: partition, state: status.State, known: true}, true
		case known:
			hidden = true
		case !ok && n == 0:
			return jobLookup{}, false
		}
		all = all && ok
	}
	return jobLookup{hidden: hidden}, all
}

// Cancel records the cancel of a job unless the job has ended; it returns false if there is
// no such job that the caller may see. If the job is not known, its submission may still be on the
// way, at an entry host that is slow or was paused, so that the cancel is recorded in all partitions,
// for a job that the caller may see. If the owner does not answer, it returns true, or refuses the
// request where callers may see some jobs only.
func (i *Intake) Cancel(ctx context.Context, caller Caller, id job.ID) (bool, error) {
	q, version := caller.Queue, caller.Configuration.Version
	search := i.search
	if caller.restricted() {
		search = i.searchUntilAnswered
	}
	found, ok := search(ctx, &caller, id)
	var err error
	switch {
	case !ok && caller.restricted():
		return false, ownerUnavailable(q)
	case found.known && found.state.Ended():
		return true, nil
	case found.known:
		err = i.recorder.Cancel(ctx, found.partition, id)
	case !found.hidden:
		err = i.revoke(ctx, &caller, id)
	}
	i.events.Event("cancel-asked", "job", id, "queue", q.Name, "config", version, "state", found.state, "known", found.known,
		"hidden", found.hidden, "owner-answered", ok, "error", err)
	return found.known || !ok, err
}

// revoke records in all partitions that a job is cancelled should it still come.
func (i *Intake) revoke(ctx context.Context, caller *Caller, id job.ID) error {
	partitions := i.owners.Partitions(caller.Queue.Pool)
	errs := make(chan error, len(partitions))
	r := Revocation{At: i.now(), Scope: caller.scope()}
	for _, partition := range partitions {
		go func() { errs <- i.recorder.Revoke(ctx, partition, id, r) }()
	}
	var first error
	for range partitions {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (i *Intake) Waiting(ctx context.Context, q *queue.Queue) (int, error) {
	for {
		if waiting, ok := i.owners.Waiting(ctx, q.Pool, q.Address()); ok {
			return waiting, nil
		}
		if pause.For(ctx, ownerRetryPause) != nil {
			return 0, ownerUnavailable(q)
		}
	}
}
