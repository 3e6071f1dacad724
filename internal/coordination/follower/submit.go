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

// Submit appends a record and waits until it is read back from the log. An
// append whose answer was lost is looked for by its id before it is sent again.
func (f *Follower) Submit(ctx context.Context, record *wire.Record) (state.Outcome, error) {
	f.sign(record)
	data, err := proto.Marshal(record)
	if err != nil {
		return state.Outcome{}, verdict.Refuse(verdict.CauseInternal, err.Error())
	}
	settled := f.expect(record.GetId())
	defer f.forget(record.GetId())
	for {
		if _, err = f.log.Append(ctx, ConfigStream, data); err == nil {
			return f.await(ctx, record.GetId(), settled)
		}
		outcome, found := f.lookFor(ctx, settled)
		if found {
			return outcome, nil
		}
		if ctx.Err() != nil {
			return state.Outcome{}, unknownOutcome(record.GetId())
		}
	}
}

func (f *Follower) sign(record *wire.Record) {
	if record.GetId() == "" {
		record.Id = uuid.NewString()
	}
	record.Rules = state.RulesVersion
	record.Author = f.self.Name
	record.Incarnation = f.self.Incarnation
	record.DataCentre = f.self.DataCentre
	record.WrittenUnixMs = time.Now().UnixMilli()
}

func (f *Follower) await(ctx context.Context, id string, settled <-chan state.Outcome) (state.Outcome, error) {
	select {
	case outcome := <-settled:
		return outcome, nil
	case <-ctx.Done():
		return state.Outcome{}, unknownOutcome(id)
	}
}

// lookFor waits until the log was read to its end after now, unless the record turns up first.
func (f *Follower) lookFor(ctx context.Context, settled <-chan state.Outcome) (state.Outcome, bool) {
	failed := time.Now()
	for !f.CaughtUp().After(failed) {
		select {
		case outcome := <-settled:
			return outcome, true
		case <-ctx.Done():
			return state.Outcome{}, false
		case <-time.After(f.retryPause / 4):
		}
	}
	select {
	case outcome := <-settled:
		return outcome, true
	default:
		return state.Outcome{}, false
	}
}

func unknownOutcome(id string) error {
	return verdict.Doubt(verdict.CauseDeadline, "the log has not confirmed record "+id+" in time; look for it with: hornbeammast config --record "+id)
}

func (f *Follower) expect(id string) <-chan state.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	settled := make(chan state.Outcome, 1)
	f.outcomes[id] = settled
	return settled
}

func (f *Follower) forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.outcomes, id)
}

func (f *Follower) settle(id string, outcome state.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	settled, ok := f.outcomes[id]
	if !ok {
		return
	}
	select {
	case settled <- outcome:
	default:
	}
}

// settleKnown looks for awaited records in a state that was adopted whole.
func (f *Follower) settleKnown() {
	f.mu.Lock()
	ids := make([]string, 0, len(f.outcomes))
	for id := range f.outcomes {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	for _, id := range ids {
		if outcome, ok := f.State().Outcome(id); ok {
			f.settle(id, outcome)
		}
	}
}
