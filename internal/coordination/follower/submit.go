package follower

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Submit appends a record and waits until it is read back from the log. After a
// failed append, whose outcome is unknown, it reads the log to its end and appends
// the record again only if its id was not found.
func (f *Follower) Submit(ctx context.Context, record *wire.Record) (state.Outcome, error) {
	f.setMetadata(record)
	data, err := proto.Marshal(record)
	if err != nil {
		return state.Outcome{}, verdict.NotRunError(verdict.CauseInternal, err.Error())
	}
	result := f.addWaiter(record.GetId())
	defer f.removeWaiter(record.GetId())
	for {
		if _, err = f.log.Append(ctx, ConfigStream, data); err == nil {
			return f.awaitOutcome(ctx, record.GetId(), result)
		}
		outcome, found := f.awaitCatchUp(ctx, result)
		if found {
			return outcome, nil
		}
		if ctx.Err() != nil {
			return state.Outcome{}, unknownOutcome(record.GetId())
		}
	}
}

// setMetadata sets the id, the rules version, the author and the time of a record.
func (f *Follower) setMetadata(record *wire.Record) {
	if record.GetId() == "" {
		record.Id = uuid.NewString()
	}
	record.Rules = state.RulesVersion
	record.Author = f.self.Name
	record.Incarnation = f.self.Incarnation
	record.DataCentre = f.self.DataCentre
	record.WrittenUnixMs = time.Now().UnixMilli()
}

func (f *Follower) awaitOutcome(ctx context.Context, id string, result <-chan state.Outcome) (state.Outcome, error) {
	select {
	case outcome := <-result:
		return outcome, nil
	case <-ctx.Done():
		return state.Outcome{}, unknownOutcome(id)
	}
}

// awaitCatchUp waits until a read of the log that began after this call has reached
// its end. It returns the outcome of the record if it was read by then.
func (f *Follower) awaitCatchUp(ctx context.Context, result <-chan state.Outcome) (state.Outcome, bool) {
	failed := time.Now()
	for !f.CaughtUp().After(failed) {
		select {
		case outcome := <-result:
			return outcome, true
		case <-ctx.Done():
			return state.Outcome{}, false
		case <-time.After(f.retryPause / 4):
		}
	}
	select {
	case outcome := <-result:
		return outcome, true
	default:
		return state.Outcome{}, false
	}
}

// unknownOutcome returns the error for a record that may or may not be in the log.
func unknownOutcome(id string) error {
	return verdict.MayHaveRunError(verdict.CauseDeadline, "the log did not confirm record "+id+" before the deadline; look it up with: hornbeammast config --record "+id)
}

// addWaiter returns a channel that receives the outcome of a record.
func (f *Follower) addWaiter(id string) <-chan state.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := make(chan state.Outcome, 1)
	f.waiters[id] = result
	return result
}

func (f *Follower) removeWaiter(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// notifyWaiter passes the outcome of a record to its waiter, if there is one.
func (f *Follower) notifyWaiter(id string, outcome state.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	result, ok := f.waiters[id]
	if !ok {
		return
	}
	select {
	case result <- outcome:
	default:
	}
}

// notifyKnownOutcomes notifies the waiters of records whose outcome is in the
// current state. An adopted state can contain records that were never read here.
func (f *Follower) notifyKnownOutcomes() {
	f.mu.Lock()
	ids := make([]string, 0, len(f.waiters))
	for id := range f.waiters {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	for _, id := range ids {
		if outcome, ok := f.State().Outcome(id); ok {
			f.notifyWaiter(id, outcome)
		}
	}
}
