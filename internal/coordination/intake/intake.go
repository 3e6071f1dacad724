// Package intake accepts jobs once, finds them again, and cancels them, at any
// entry host.
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
	// askAgain is the pause before an owner that was away is asked again.
	askAgain = 100 * time.Millisecond
	// RetryAfter is when a refused caller should come back.
	RetryAfter = time.Second
)

// Recorder adds records to the log. An error carries its verdict.
type Recorder interface {
	Submit(ctx context.Context, j *job.Job) error
	Cancel(ctx context.Context, pool string, id job.ID) error
}

// Owners asks the owner of a pool; ok is false while the owner is not known, is
// away, or has not read all its records.
type Owners interface {
	State(ctx context.Context, pool string, id job.ID) (state job.State, known, ok bool)
	Waiting(ctx context.Context, pool, queue string) (waiting int, ok bool)
}

// Events takes one line for each request.
type Events interface {
	Event(name string, pairs ...any)
}

// Intake is the callers' side of one entry host.
type Intake struct {
	recorder Recorder
	owners   Owners
	events   Events
	now      func() time.Time
}

// New makes an intake.
func New(recorder Recorder, owners Owners, events Events, now func() time.Time) *Intake {
	return &Intake{recorder: recorder, owners: owners, events: events, now: now}
}

// Submit accepts a job once its record is in the log. An error says whether the
// job may run: only NotRun is a refusal.
func (i *Intake) Submit(ctx context.Context, version int64, q *queue.Queue, j *job.Job) error {
	j.Queue, j.Pool, j.Priority, j.MaxAttempts = q.Name, q.Pool, q.Priority, max(1, q.MaxAttempts)
	j.Stretch, j.LatencyTarget, j.NeedsAdvice = q.Stretch, q.LatencyTarget, q.Advised
	j.AcceptedAt = i.now()
	if err := j.Validate(); err != nil {
		i.events.Event("job-refused", "job", j.ID, "queue", q.Name, "config", version, "error", err)
		return verdict.Refuse(verdict.CauseBadRequest, err.Error())
	}
	err := i.recorder.Submit(ctx, j)
	i.events.Event("job-submitted", "job", j.ID, "queue", q.Name, "pool", q.Pool, "config", version, "steps", len(j.Steps),
		"took", i.now().Sub(j.AcceptedAt), "error", err)
	return err
}

// State tells how a job stands. Before it says that there is none, the owners of
// all pools are asked, since a queue may have changed its pool.
func (i *Intake) State(ctx context.Context, c *queue.Configuration, q *queue.Queue, id job.ID) (job.State, bool, error) {
	for {
		found, ok := i.search(ctx, c, q, id)
		if found.known || ok {
			i.events.Event("state-asked", "job", id, "queue", q.Name, "config", c.Version, "state", found.state, "known", found.known)
			return found.state, found.known, nil
		}
		if pause.For(ctx, askAgain) != nil {
			i.events.Event("state-unknown", "job", id, "queue", q.Name, "config", c.Version, "pool", q.Pool)
			return "", false, verdict.Refuse(verdict.CauseNotServing, fmt.Sprintf("the owner of pool %s does not answer; ask again", q.Pool))
		}
	}
}

// finding is a job's state and the pool that has it.
type finding struct {
	pool  string
	state job.State
	known bool
}

// search asks the pool's owner first, then the others; ok means that all asked have answered.
func (i *Intake) search(ctx context.Context, c *queue.Configuration, q *queue.Queue, id job.ID) (finding, bool) {
	state, known, ok := i.owners.State(ctx, q.Pool, id)
	if known || !ok {
		return finding{q.Pool, state, known}, ok
	}
	for n := range c.Pools {
		pool := c.Pools[n].Name
		if pool == q.Pool || c.Pools[n].Spare {
			continue
		}
		state, known, answered := i.owners.State(ctx, pool, id)
		if known {
			return finding{pool, state, true}, true
		}
		ok = ok && answered
	}
	return finding{}, ok
}

// Cancel ends a job; false means that there is no such job.
func (i *Intake) Cancel(ctx context.Context, c *queue.Configuration, q *queue.Queue, id job.ID) (bool, error) {
	found, ok := i.search(ctx, c, q, id)
	if ok && !found.known {
		i.events.Event("cancel-unknown", "job", id, "queue", q.Name, "config", c.Version)
		return false, nil
	}
	if found.state.Ended() {
		return true, nil
	}
	err := i.cancelIn(ctx, c, found, id)
	i.events.Event("cancel-asked", "job", id, "queue", q.Name, "config", c.Version, "state", found.state, "known", found.known, "error", err)
	return true, err
}

// cancelIn records the cancel for the pool that has the job, or for all that may.
func (i *Intake) cancelIn(ctx context.Context, c *queue.Configuration, found finding, id job.ID) error {
	if found.known {
		return i.recorder.Cancel(ctx, found.pool, id)
	}
	for n := range c.Pools {
		if c.Pools[n].Spare {
			continue
		}
		if err := i.recorder.Cancel(ctx, c.Pools[n].Name, id); err != nil {
			return err
		}
	}
	return nil
}

// Waiting counts the queue's jobs of which nothing has started.
func (i *Intake) Waiting(ctx context.Context, q *queue.Queue) (int, error) {
	for {
		if waiting, ok := i.owners.Waiting(ctx, q.Pool, q.Name); ok {
			return waiting, nil
		}
		if pause.For(ctx, askAgain) != nil {
			return 0, verdict.Refuse(verdict.CauseNotServing, fmt.Sprintf("the owner of pool %s does not answer; ask again", q.Pool))
		}
	}
}
