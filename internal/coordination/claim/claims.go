package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	defaultStreams    = 4
	defaultBatchDelay = 20 * time.Millisecond
	defaultMaxBatch   = 512
	defaultMaxPending = 8192
	defaultReadWait   = time.Second
	defaultRetryPause = 100 * time.Millisecond
	defaultIdleTime   = time.Minute
	defaultWindow     = 20 * time.Minute
	// clockMargin is the largest tolerated difference between the clocks of entry
	// hosts and callers.
	clockMargin = time.Minute
)

// Status is the state of a claim according to the log.
type Status int

const (
	// Unknown means that the log shows no holder of the key, because the claim was
	// abandoned before it was read.
	Unknown Status = iota
	// Won means that this claim holds the key: only its claimant may dispatch.
	Won
	// Lost means that another claim holds the key.
	Lost
	// Done means that the request ran to completion under another claim.
	Done
)

// Result is the status of a claim and, if it did not win, the holder of the key.
type Result struct {
	Status      Status
	Holder      string
	Incarnation string
}

// Owners returns the entry host that reads a stream.
type Owners interface {
	Owner(key, dataCentre string) string
}

// Peers claims through the entry host that owns a stream.
type Peers interface {
	Claim(ctx context.Context, entryHost string, c *wire.Claim) (Result, error)
}

// Claimer claims keys for one entry host, and for other entry hosts whose claims
// belong to a stream that this one owns.
type Claimer struct {
	self        string
	incarnation string
	owners      Owners
	peers       Peers
	options     options
	streams     []*stream
}

type options struct {
	ctx        context.Context //nolint:containedctx // Streams run until the process ends.
	streams    int
	batchDelay time.Duration
	maxBatch   int
	maxPending int
	readWait   time.Duration
	retryPause time.Duration
	idleTime   time.Duration
	window     time.Duration
}

// Option configures a Claimer.
type Option func(*options)

// WithStreams sets the number of streams that the keys are spread over. It must
// be the same on all entry hosts.
func WithStreams(n int) Option { return func(o *options) { o.streams = n } }

// WithBatchDelay sets how long claims are collected for one append.
func WithBatchDelay(d time.Duration) Option { return func(o *options) { o.batchDelay = d } }

// WithWindow sets the age up to which a request id is remembered.
func WithWindow(d time.Duration) Option { return func(o *options) { o.window = d } }

// New returns the Claimer of one entry host. Its streams are read until ctx ends.
func New(ctx context.Context, log Log, owners Owners, peers Peers, self, incarnation string, opts ...Option) *Claimer {
	o := options{
		ctx: ctx, streams: defaultStreams, batchDelay: defaultBatchDelay, maxBatch: defaultMaxBatch,
		maxPending: defaultMaxPending, readWait: defaultReadWait, retryPause: defaultRetryPause,
		idleTime: defaultIdleTime, window: defaultWindow,
	}
	for _, apply := range opts {
		apply(&o)
	}
	c := &Claimer{self: self, incarnation: incarnation, owners: owners, peers: peers, options: o}
	for n := range o.streams {
		c.streams = append(c.streams, newStream(fmt.Sprintf("claims-%d", n), log, o))
	}
	return c
}

// KeyOf returns the hash of a team and a request id.
func KeyOf(team, id string) Key {
	var key Key
	for n := range 2 {
		sum := xxhash.NewWithSeed(uint64(n)) //nolint:gosec // n is 0 or 1.
		_, _ = sum.WriteString(team + "\x00" + id)
		copy(key[8*n:], sum.Sum(nil))
	}
	return key
}

// Window returns the age up to which a request id is remembered.
func (c *Claimer) Window() time.Duration { return c.options.window }

// Handle is a claim of a key by this process, on which later steps are reported.
type Handle struct {
	claimer *Claimer
	claim   *wire.Claim
}

// Claim claims a key. Without an error, a result other than Unknown is final. After
// an error or Unknown, the caller must call Abandon on the handle.
func (c *Claimer) Claim(ctx context.Context, key Key, issued time.Time) (*Handle, Result, error) {
	id := uuid.New()
	handle := &Handle{claimer: c, claim: &wire.Claim{
		Key: key[:], ClaimId: id[:], Claimant: c.self, Incarnation: c.incarnation,
		Step: wire.ClaimStep_CLAIM_STEP_ASK, IssuedUnixMs: issued.UnixMilli(),
	}}
	owner := c.owners.Owner(c.stream(key).name, "")
	if owner != "" && owner != c.self {
		if result, err := c.claimThroughOwner(ctx, owner, handle.claim); err == nil && result.Status != Unknown {
			return handle, result, nil
		}
	}
	result, err := c.ClaimLocally(ctx, handle.claim)
	return handle, result, err
}

// claimThroughOwner claims through the owner of the stream. It uses at most half of the
// time left, so that this process can claim itself if the owner is unresponsive.
func (c *Claimer) claimThroughOwner(ctx context.Context, owner string, claim *wire.Claim) (Result, error) {
	bound := time.Second
	if deadline, ok := ctx.Deadline(); ok {
		bound = min(bound, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return c.peers.Claim(ctx, owner, claim)
}

// ClaimLocally claims a key through the stream as this process reads it.
func (c *Claimer) ClaimLocally(ctx context.Context, claim *wire.Claim) (Result, error) {
	return c.stream(Key(toArray(claim.GetKey()))).claim(ctx, claim)
}

// Abandon records in the log that this claim will not dispatch, so that another
// claim can win the key. It does not wait for the append.
func (h *Handle) Abandon() { h.appendStep(wire.ClaimStep_CLAIM_STEP_GIVE_UP) }

// MarkDone records in the log that the request ran to completion. It does not wait for
// the append.
func (h *Handle) MarkDone() { h.appendStep(wire.ClaimStep_CLAIM_STEP_DONE) }

func (h *Handle) appendStep(step wire.ClaimStep) {
	c := &wire.Claim{
		Key: h.claim.GetKey(), ClaimId: h.claim.GetClaimId(), Claimant: h.claim.GetClaimant(),
		Incarnation: h.claim.GetIncarnation(), Step: step, IssuedUnixMs: h.claim.GetIssuedUnixMs(),
	}
	h.claimer.stream(Key(toArray(c.GetKey()))).appendStep(c)
}

// stream returns the stream of a key.
func (c *Claimer) stream(key Key) *stream {
	return c.streams[int(key[0])%len(c.streams)]
}

// Stats describes one claim stream in this process.
type Stats struct {
	Stream  string `json:"stream"`
	Reading bool   `json:"reading"`
	Held    int    `json:"held"`
	Pending int    `json:"pending"`
	Next    uint64 `json:"next"`
}

// Stats returns a row for each stream.
func (c *Claimer) Stats() []Stats {
	rows := make([]Stats, 0, len(c.streams))
	for _, s := range c.streams {
		s.mu.Lock()
		rows = append(rows, Stats{Stream: s.name, Reading: s.reading, Held: len(s.table.held), Pending: len(s.pending), Next: s.position})
		s.mu.Unlock()
	}
	return rows
}
