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

// stream reads one claim stream while it is used, and appends to it in groups.
type stream struct {
	name    string
	log     Log
	options options

	mu       sync.Mutex
	table    *table
	position uint64
	lastUsed time.Time
	reading  bool
	waiting  map[ID]*waiter
	pending  []*wire.Claim
	flushing bool
}

// waiter is an ask whose claim was not read back yet.
type waiter struct {
	claim *wire.Claim
	read  chan Result
}

func newStream(name string, log Log, o options) *stream {
	return &stream{name: name, log: log, options: o, table: newTable(), waiting: map[ID]*waiter{}}
}

// ask appends a claim and waits until the log shows who holds the key.
func (s *stream) ask(ctx context.Context, c *wire.Claim) (Result, error) {
	id := ID(pad(c.GetClaimId()))
	w := &waiter{claim: c, read: make(chan Result, 1)}
	s.mu.Lock()
	s.waiting[id] = w
	s.enqueueLocked(c)
	s.startReadingLocked()
	s.mu.Unlock()
	defer s.stopWaiting(id)
	select {
	case result := <-w.read:
		return result, nil
	case <-ctx.Done():
		return Result{}, ctx.Err()
	}
}

// tell appends a step without waiting for it.
func (s *stream) tell(c *wire.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueueLocked(c)
}

func (s *stream) stopWaiting(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

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

// flush appends what is pending, group after group, until nothing is left.
func (s *stream) flush() {
	for {
		_ = pause.For(s.options.ctx, s.options.groupWait)
		group := s.takeGroup()
		if len(group) == 0 {
			return
		}
		data, err := proto.Marshal(&wire.ClaimBatch{Claims: group})
		if err != nil {
			continue
		}
		if _, err := s.log.Append(s.options.ctx, s.name, data); err != nil {
			s.putBack(group)
			_ = pause.For(s.options.ctx, s.options.retryPause)
		}
		if s.options.ctx.Err() != nil {
			return
		}
	}
}

func (s *stream) takeGroup() []*wire.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), s.options.maxGroup)
	group := s.pending[:n:n]
	s.pending = s.pending[n:]
	if n == 0 {
		s.pending = nil
		s.flushing = false
	}
	return group
}

// putBack keeps what still matters of a group whose append failed: asks that
// somebody waits for, and all other steps. A second copy in the log is harmless.
func (s *stream) putBack(group []*wire.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []*wire.Claim{}
	for _, c := range group {
		_, waited := s.waiting[ID(pad(c.GetClaimId()))]
		if waited || c.GetStep() != wire.ClaimStep_CLAIM_STEP_ASK {
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

// readLoop follows the stream until it was not used for a while. Then the
// table is dropped; the next use reads the stream from its beginning.
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

func (s *stream) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 || time.Since(s.lastUsed) < s.options.idleTime {
		return false
	}
	s.reading = false
	s.table = newTable()
	s.position = 0
	return true
}

// fold applies a batch. Entries that the log dropped are older than any key
// that may still be claimed, so a gap needs no care.
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
			s.answerLocked(c)
		}
	}
	s.table.prune(time.Now().Add(-s.options.window - clockMargin))
}

// answerLocked tells the waiter of an ask what the log made of it.
func (s *stream) answerLocked(c *wire.Claim) {
	if c.GetStep() != wire.ClaimStep_CLAIM_STEP_ASK {
		return
	}
	w, ok := s.waiting[ID(pad(c.GetClaimId()))]
	if !ok {
		return
	}
	select {
	case w.read <- s.resultLocked(c):
	default:
	}
}

func (s *stream) resultLocked(c *wire.Claim) Result {
	held, taken := s.table.held[Key(pad(c.GetKey()))]
	switch {
	case !taken:
		return Result{Standing: Unknown}
	case held.holder == ID(pad(c.GetClaimId())):
		return Result{Standing: Won}
	case held.done:
		return Result{Standing: Done, Holder: held.claimant, Incarnation: held.incarnation}
	default:
		return Result{Standing: Lost, Holder: held.claimant, Incarnation: held.incarnation}
	}
}
