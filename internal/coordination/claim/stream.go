package claim

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (platformapi.Batch, error)
}

// stream reads one claim stream while it is in use and appends claims to it in batches.
type stream struct {
	name    string
	log     Log
	options options

	mu       sync.Mutex
	table    *table
	position uint64
	lastUsed time.Time
	reading  bool
	waiters  map[ID]*waiter
	pending  []*wire.Claim
	flushing bool
}

// waiter waits until a claim step is read back from the log.
type waiter struct {
	claim  *wire.Claim
	result chan Result
}

func newStream(name string, log Log, o options) *stream {
	return &stream{name: name, log: log, options: o, table: newTable(), waiters: map[ID]*waiter{}}
}

// claim appends a claim and waits until it is read back, which shows who holds the key.
func (s *stream) claim(ctx context.Context, c *wire.Claim) (Result, error) {
	id := ID(toArray(c.GetClaimId()))
	w := &waiter{claim: c, result: make(chan Result, 1)}
	s.mu.Lock()
	s.waiters[id] = w
	s.enqueueLocked(c)
	s.startReadingLocked()
	s.mu.Unlock()
	defer s.removeWaiter(id)
	select {
	case result := <-w.result:
		return result, nil
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// appendStep queues a step for the next append and does not wait for it.
func (s *stream) appendStep(c *wire.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueueLocked(c)
}

func (s *stream) removeWaiter(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// enqueueLocked queues a claim for the next append. It drops the claim if
// maxPending claims are queued already.
func (s *stream) enqueueLocked(c *wire.Claim) {
	if len(s.pending) >= s.options.maxPending {
		return
	}
	s.pending = append(s.pending, c)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush appends the pending claims batch by batch until none is left.
func (s *stream) flush() {
	for {
		_ = pause.For(s.options.ctx, s.options.batchDelay)
		batch := s.takeBatch()
		if len(batch) == 0 {
			return
		}
		data, err := proto.Marshal(&wire.ClaimBatch{Claims: batch})
		if err != nil {
			continue
		}
		if _, err := s.log.Append(s.options.ctx, s.name, data); err != nil {
			s.requeue(batch)
			_ = pause.For(s.options.ctx, s.options.retryPause)
		}
		if s.options.ctx.Err() != nil {
			return
		}
	}
}

// takeBatch removes up to maxBatch pending claims. If none is left it ends the flush.
func (s *stream) takeBatch() []*wire.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), s.options.maxBatch)
	batch := s.pending[:n:n]
	s.pending = s.pending[n:]
	if n == 0 {
		s.pending = nil
		s.flushing = false
	}
	return batch
}

// requeue queues a batch again after its append failed, without the claim steps
// that have no waiter any more. The failed append may still have taken effect, but a
// second copy of a claim in the log is harmless.
func (s *stream) requeue(batch []*wire.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []*wire.Claim{}
	for _, c := range batch {
		_, hasWaiter := s.waiters[ID(toArray(c.GetClaimId()))]
		if hasWaiter || c.GetStep() != wire.ClaimStep_CLAIM_STEP_ASK {
			kept = append(kept, c)
		}
	}
	s.pending = append(kept, s.pending...)
}

func (s *stream) startReadingLocked() {
	s.lastUsed = time.Now()
	if s.reading {
		return
	}
	s.reading = true
	go s.readLoop()
}

// readLoop reads the stream until it has been idle for idleTime. The table is
// then dropped, and the next use reads the stream from its beginning.
func (s *stream) readLoop() {
	for s.options.ctx.Err() == nil {
		if s.stopIfIdle() {
			return
		}
		batch, err := s.log.Read(s.options.ctx, s.name, s.position, s.options.readWait)
		if err != nil {
			_ = pause.For(s.options.ctx, s.options.retryPause)
			continue
		}
		s.fold(batch)
	}
}

// stopIfIdle stops reading and drops the table if the stream is idle.
func (s *stream) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 || time.Since(s.lastUsed) < s.options.idleTime {
		return false
	}
	s.reading = false
	s.table = newTable()
	s.position = 0
	return true
}

// fold applies a batch. A gap needs no handling: entries that the log has dropped
// are older than any key that can still be claimed.
func (s *stream) fold(batch platformapi.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = max(s.position, batch.First)
	for _, entry := range batch.Entries {
		if entry.Offset < s.position {
			continue
		}
		s.position = entry.Offset + 1
		claims := &wire.ClaimBatch{}
		if err := proto.Unmarshal(entry.Data, claims); err != nil {
			continue
		}
		for _, c := range claims.GetClaims() {
			s.table.apply(c)
			s.notifyWaiterLocked(c)
		}
	}
	s.table.prune(time.Now().Add(-s.options.window - clockMargin))
}

// notifyWaiterLocked passes the result of a claim step to its waiter.
func (s *stream) notifyWaiterLocked(c *wire.Claim) {
	if c.GetStep() != wire.ClaimStep_CLAIM_STEP_ASK {
		return
	}
	w, ok := s.waiters[ID(toArray(c.GetClaimId()))]
	if !ok {
		return
	}
	select {
	case w.result <- s.resultLocked(c):
	default:
	}
}

// resultLocked returns the result of a claim according to the table.
func (s *stream) resultLocked(c *wire.Claim) Result {
	held, taken := s.table.held[Key(toArray(c.GetKey()))]
	switch {
	case !taken:
		return Result{Status: Unknown}
	case held.claimID == ID(toArray(c.GetClaimId())):
		return Result{Status: Won}
	case held.done:
		return Result{Status: Done, Holder: held.claimant, Incarnation: held.incarnation}
	default:
		return Result{Status: Lost, Holder: held.claimant, Incarnation: held.incarnation}
	}
}
