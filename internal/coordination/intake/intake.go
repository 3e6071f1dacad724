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
}

// OwnerClient queries the owners of the partitions that hold the pools' jobs; ok is false while
// an owner is unknown or unavailable, or has not read all its records.
type OwnerClient interface {
	// Partitions returns all partitions, that of a pool first.
	Partitions(pool string) []int
	State(ctx context.Context, partition int, id job.ID) (state job.State, known, ok bool)
	// Waiting takes the pool and the address of a queue.
	Waiting(ctx context.Context, pool, queue string) (waiting int, ok bool)
}

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

// Submit copies the queue's settings into the job and returns nil once the job's record is
// in the log. If the verdict of an error is NotRun, the job is refused; otherwise it may run.
func (i *Intake) Submit(ctx context.Context, version int64, q *queue.Queue, j *job.Job) error {
	j.Queue, j.Pool, j.Priority, j.MaxAttempts = q.Name, q.Pool, q.Priority, max(1, q.MaxAttempts)
	j.Stretch, j.LatencyTarget, j.NeedsPlacementCheck = q.Stretch, q.LatencyTarget, q.NeedsPlacementCheck
	j.QueueAddress, j.ConfigVersion, j.AcceptedAt = q.Address(), version, i.now()
	j.Limit()
	if err := j.Validate(); err != nil {
		i.events.Event("job-refused", "job", j.ID, "queue", q.Name, "config", version, "error", err)
		return verdict.NotRunError(verdict.CauseBadRequest, err.Error())
	}
	err := i.recorder.Submit(ctx, j)
	i.events.Event("job-submitted", "job", j.ID, "queue", q.Name, "pool", q.Pool, "config", version, "steps", len(j.Steps),
		"took", i.now().Sub(j.AcceptedAt), "error", err)
	return err
}

// State returns a job's state, and whether the job is known. A job is unknown only if the
// owners of all partitions say so, since the queue may have been moved to another pool.
func (i *Intake) State(ctx context.Context, c *queue.Configuration, q *queue.Queue, id job.ID) (job.State, bool, error) {
	for {
		found, ok := i.search(ctx, q, id)
		if found.known || ok {
			i.events.Event("state-asked", "job", id, "queue", q.Name, "config", c.Version, "state", found.state, "known", found.known)
			return found.state, found.known, nil
		}
		if pause.For(ctx, ownerRetryPause) != nil {
			i.events.Event("state-unknown", "job", id, "queue", q.Name, "config", c.Version, "pool", q.Pool)
			return "", false, verdict.NotRunError(verdict.CauseNotServing, fmt.Sprintf("the owner of pool %s does not answer; try again", q.Pool))
		}
	}
}

// jobLookup is the result of a search for a job: its state and the partition that has it.
type jobLookup struct {
	partition int
	state     job.State
	known     bool
}

// search queries the owner of the queue's partition first, then those of the others; ok is
// true if all queried owners have answered.
func (i *Intake) search(ctx context.Context, q *queue.Queue, id job.ID) (jobLookup, bool) {
	all := true
	for n, partition := range i.owners.Partitions(q.Pool) {
		state, known, ok := i.owners.State(ctx, partition, id)
		switch {
		case known:
			return jobLookup{partition, state, true}, true
		case !ok && n == 0:
			return jobLookup{}, false
		}
		all = all && ok
	}
	return jobLookup{}, all
}

// Cancel records the cancel of a job unless the job has ended; it returns false if there is
// no such job.
func (i *Intake) Cancel(ctx context.Context, c *queue.Configuration, q *queue.Queue, id job.ID) (bool, error) {
	found, ok := i.search(ctx, q, id)
	if ok && !found.known {
		i.events.Event("cancel-unknown", "job", id, "queue", q.Name, "config", c.Version)
		return false, nil
	}
	if found.state.Ended() {
		return true, nil
	}
	err := i.cancelIn(ctx, q, found, id)
	i.events.Event("cancel-asked", "job", id, "queue", q.Name, "config", c.Version, "state", found.state, "known", found.known, "error", err)
	return true, err
}

// cancelIn records the cancel in the partition that has the job, or in all if that is not known.
func (i *Intake) cancelIn(ctx context.Context, q *queue.Queue, found jobLookup, id job.ID) error {
	if found.known {
		return i.recorder.Cancel(ctx, found.partition, id)
	}
	for _, partition := range i.owners.Partitions(q.Pool) {
		if err := i.recorder.Cancel(ctx, partition, id); err != nil {
			return err
		}
	}
	return nil
}

// Waiting returns the number of the queue's jobs of which no task has started.
func (i *Intake) Waiting(ctx context.Context, q *queue.Queue) (int, error) {
	for {
		if waiting, ok := i.owners.Waiting(ctx, q.Pool, q.Address()); ok {
			return waiting, nil
		}
		if pause.For(ctx, ownerRetryPause) != nil {
			return 0, verdict.NotRunError(verdict.CauseNotServing, fmt.Sprintf("the owner of pool %s does not answer; try again", q.Pool))
		}
	}
}
