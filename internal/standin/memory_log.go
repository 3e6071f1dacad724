package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// Fault is the fault injected into one call of a MemoryLog.
type Fault int

const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Refused makes the call fail without effect.
	Refused
	// AnswerLost makes an append take effect but return an error.
	AnswerLost
	// LateEffect makes an append return an error and take effect later, after
	// lateEffectDelay.
	LateEffect
)

var (
	errRefused    = errors.New("the log is away")
	errAnswerLost = errors.New("the log's answer was lost")
)

// lateEffectDelay is the time after which an append with LateEffect takes effect.
const lateEffectDelay = 300 * time.Millisecond

// MemoryLog is a log in memory that needs no network and injects faults.
type MemoryLog struct {
	log     *Log
	latency time.Duration

	mu     sync.Mutex
	faults func() Fault
}

// NewMemoryLog creates an empty log in which every call takes the given latency.
func NewMemoryLog(latency time.Duration) *MemoryLog {
	return &MemoryLog{log: NewLog(), latency: latency, faults: func() Fault { return NoFault }}
}

// SetFaults sets the function that is called for the fault of each call.
func (m *MemoryLog) SetFaults(faults func() Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

// Log returns the underlying log, which has neither latency nor faults.
func (m *MemoryLog) Log() *Log { return m.log }

func (m *MemoryLog) nextFault() Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults()
}

// Append adds an entry to a stream and returns its offset.
func (m *MemoryLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := pause.For(ctx, m.latency); err != nil {
		return 0, err
	}
	switch m.nextFault() {
	case Refused:
		return 0, errRefused
	case AnswerLost:
		m.log.Append(stream, data)
		return 0, errAnswerLost
	case LateEffect:
		time.AfterFunc(lateEffectDelay, func() { m.log.Append(stream, data) })
		return 0, errAnswerLost
	default:
		return m.log.Append(stream, data), nil
	}
}

// Read returns the entries from an offset on. If there are none it waits for one, up to the
// given time.
func (m *MemoryLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platformapi.Batch, error) {
	if err := pause.For(ctx, m.latency); err != nil {
		return platformapi.Batch{}, err
	}
	if m.nextFault() == Refused {
		return platformapi.Batch{}, errRefused
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		batch, appended := m.log.Read(stream, from)
		if len(batch.Entries) > 0 || wait == 0 || from < batch.First {
			return batch, nil
		}
		select {
		case <-appended:
		case <-deadline.C:
			return batch, nil
		case <-ctx.Done():
			return platformapi.Batch{}, ctx.Err()
		}
	}
}
