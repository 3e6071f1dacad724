package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// Fault is what happens to one call of a memory log.
type Fault int

const (
	// NoFault lets the call through.
	NoFault Fault = iota
	// Refused fails the call without effect.
	Refused
	// AnswerLost lets an append take effect and fails it.
	AnswerLost
	// LateEffect fails an append that takes effect some time later.
	LateEffect
)

var (
	errRefused    = errors.New("the log is away")
	errAnswerLost = errors.New("the log's answer was lost")
)

// lateBy is how much later a late append takes effect.
const lateBy = 300 * time.Millisecond

// MemoryLog is a log without a network, with faults of the caller's choice.
type MemoryLog struct {
	log     *Log
	latency time.Duration

	mu     sync.Mutex
	faults func() Fault
}

// NewMemoryLog makes an empty log; every call takes the latency.
func NewMemoryLog(latency time.Duration) *MemoryLog {
	return &MemoryLog{log: NewLog(), latency: latency, faults: func() Fault { return NoFault }}
}

// SetFaults chooses the fault of each call from now on.
func (m *MemoryLog) SetFaults(faults func() Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Log is the log underneath.
func (m *MemoryLog) Log() *Log { return m.log }

func (m *MemoryLog) next() Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults()
}

// Append adds an entry.
func (m *MemoryLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := pause.For(ctx, m.latency); err != nil {
		return 0, err
	}
	switch m.next() {
	case Refused:
		return 0, errRefused
	case AnswerLost:
		m.log.Append(stream, data)
		return 0, errAnswerLost
	case LateEffect:
		time.AfterFunc(lateBy, func() { m.log.Append(stream, data) })
		return 0, errAnswerLost
	default:
		return m.log.Append(stream, data), nil
	}
}

// Read gives entries from an offset on and waits for the first one.
func (m *MemoryLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platformapi.Batch, error) {
	if err := pause.For(ctx, m.latency); err != nil {
		return platformapi.Batch{}, err
	}
	if m.next() == Refused {
		return platformapi.Batch{}, errRefused
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		batch, grown := m.log.Read(stream, from)
		if len(batch.Entries) > 0 || wait == 0 || from < batch.First {
			return batch, nil
		}
		select {
		case <-grown:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return platformapi.Batch{}, ctx.Err()
		}
	}
}
