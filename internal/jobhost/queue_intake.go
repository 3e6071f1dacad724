package jobhost

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// settleRetry is the pause before the owner of another partition is asked again.
	settleRetry = 100 * time.Millisecond
	// settleTimeout bounds a step by which a held job is settled.
	settleTimeout = 2500 * time.Millisecond
	// heldStateWait is how long a question about a held job waits for it to be settled.
	heldStateWait = 300 * time.Millisecond
	// forwardedRetention is how long a partition answers for a job that it has forwarded or left
	// to another one, so that a question or cancel that is on its way finds it.
	forwardedRetention = 2 * time.Minute
	// forwardedVisible is how long it says that such a job is queued, to a caller who has asked the
	// other one before the job was there.
	forwardedVisible = 3 * time.Second
	// forwardedTimeout bounds the question to the other one.
	forwardedTimeout = 400 * time.Millisecond
)

// intakeKey returns the key of the record of a queue's intake. The log bounds the length of
// keys, and addresses may be longer.
func intakeKey(queue string) string {
	return keyIntake + strconv.FormatUint(xxhash.Sum64String(queue), 16)
}

func intakeToProto(queue string, i handover.Intake) *wire.QueueIntake {
	m := &wire.QueueIntake{QueueAddress: queue, Version: i.Version, Pool: i.Pool}
	for _, n := range i.Former {
		m.Former = append(m.Former, int32(n)) //nolint:gosec // Below Partitions.
	}
	return m
}

func intakeFromProto(m *wire.QueueIntake) handover.Intake {
	i := handover.Intake{Version: m.GetVersion(), Pool: m.GetPool()}
	for _, n := range m.GetFormer() {
		i.Former = append(i.Former, int(n))
	}
	return i
}

func intakeRecord(queue string, i handover.Intake) (keyedlog.Record, error) {
	data, err := proto.Marshal(intakeToProto(queue, i))
	return keyedlog.Record{Key: intakeKey(queue), Value: data}, errors.Wrap(err, "marshal the intake of a queue")
}

func (p *partition) applyIntake(record keyedlog.Record) {
	m := &wire.QueueIntake{}
	if err := proto.Unmarshal(record.Value, m); err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	p.intakes.Apply(m.GetQueueAddress(), intakeFromProto(m))
}

// recordIntake records an intake that was decided under the lock, which it releases: intakes must
// be recorded in the order in which they were decided.
func (p *partition) recordIntake(ctx context.Context, queue string, intake handover.Intake, event string) error {
	record, err := intakeRecord(queue, intake)
	if err != nil {
		p.mu.Unlock()
		return err
	}
	submitted := p.recorder.enqueue(record)
	p.mu.Unlock()
	p.host.events.Event(event, "partition", p.id.Number, "queue", queue, "config", intake.Version, "pool", intake.Pool, "former", intake.Former)
	return p.awaitRecorded(ctx, submitted)
}

func (p *partition) awaitRecorded(ctx context.Context, submitted *submittedRecord) error {
	if o := p.recorder.await(ctx, submitted); o.verdict != verdict.Ran {
		return errors.Newf("the log has not confirmed a record: %s", o.message)
	}
	return nil
}

// waiting returns how many jobs of a queue have not begun, and whether no other partition can have
// any.
func (p *partition) waiting(queue string) (n int, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.pools {
		n += r.pool.Waiting(queue)
	}
	for _, h := range p.held {
		if h.state.QueueAddress == queue {
			n++
		}
	}
	intake, known := p.intakes.Intake(queue)
	return n, known && len(intake.Former) == 0 && p.host.partitionOf(intake.Pool) == p.id
}
