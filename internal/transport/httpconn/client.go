// Package httpconn sends HTTP requests over connections that it dials and
// bounds itself, so that it knows whether a byte of a request may have left.
package httpconn

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
)

// The library keeps these two in globals. Its start and stop lines are no
// events of ours. Its pool of buffers takes one back twice when an answer
// breaks off, and then two connections share it; the plain allocator leaves
// buffers to the garbage collector.
func init() { //nolint:gochecknoinits // See above.
	logging.SetLevel(logging.LevelError)
	mempool.DefaultMemPool = mempool.NewSTD()
}

const (
	// defaultMaxConns is the most connections to one address.
	defaultMaxConns = 64
	// defaultMaxAnswer is the largest answer, in bytes.
	defaultMaxAnswer = 16 << 20
	// defaultDialTimeout bounds the connect.
	defaultDialTimeout = time.Second
	// defaultIdleLimit is how long an unused connection is trusted; silent
	// middle boxes forget idle ones first.
	defaultIdleLimit = 10 * time.Second
)

// Request is one HTTP request.
type Request struct {
	Method string
	// Path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is a whole HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stage tells how far a request came before it failed.
type Stage int

const (
	// Unsent means that no byte of the request left.
	Unsent Stage = iota
	// Sent means that some of the request may have left.
	Sent
)

// Error is a failed request.
type Error struct {
	Stage Stage
	// TooLarge is set when the answer passed the bound.
	TooLarge bool
	cause    error
}

// Error gives the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// StageOf finds how far a failed request came.
func StageOf(err error) Stage {
	var e *Error
	if errors.As(err, &e) {
		return e.Stage
	}
	return Sent
}

// Client keeps a bounded pool of connections for each address.
type Client struct {
	engine      *nbhttp.Engine
	maxConns    int
	dialTimeout time.Duration
	idleLimit   time.Duration

	closing sync.Once
	mu      sync.Mutex
	pools   map[netip.AddrPort]*pool
}

// Option changes a Client.
type Option func(*options)

type options struct {
	maxConns    int
	maxAnswer   int
	dialTimeout time.Duration
	idleLimit   time.Duration
}

// WithMaxConns bounds the connections to one address.
func WithMaxConns(n int) Option { return func(o *options) { o.maxConns = n } }

// WithMaxAnswer bounds an answer's size in bytes.
func WithMaxAnswer(n int) Option { return func(o *options) { o.maxAnswer = n } }

// WithDialTimeout bounds the connect.
func WithDialTimeout(d time.Duration) Option { return func(o *options) { o.dialTimeout = d } }

// New starts a client.
func New(opts ...Option) (*Client, error) {
	o := options{
		maxConns: defaultMaxConns, maxAnswer: defaultMaxAnswer,
		dialTimeout: defaultDialTimeout, idleLimit: defaultIdleLimit,
	}
	for _, apply := range opts {
		apply(&o)
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name:              "httpconn",
		MaxHTTPBodySize:   o.maxAnswer,
		ReadLimit:         o.maxAnswer + 1<<20,
		SupportServerOnly: true,
		ServerExecutor:    func(f func()) { go f() },
	})
	if err := engine.Start(); err != nil {
		return nil, errors.Wrap(err, "start the HTTP client")
	}
	return &Client{
		engine: engine, maxConns: o.maxConns, dialTimeout: o.dialTimeout, idleLimit: o.idleLimit,
		pools: map[netip.AddrPort]*pool{},
	}, nil
}

// Close ends the client and all its connections; a second call does nothing.
func (c *Client) Close() { c.closing.Do(c.closeNow) }

func (c *Client) closeNow() {
	c.mu.Lock()
	for _, p := range c.pools {
		p.closeAll()
	}
	c.mu.Unlock()
	c.engine.Stop()
}

// Do sends a request and waits for the whole answer. When ctx ends first, the
// connection is closed.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request Request) (Answer, error) {
	p := c.pool(address)
	cn, err := p.take(ctx, request.Fresh)
	if err != nil {
		return Answer{}, &Error{Stage: Unsent, cause: err}
	}
	answer, err := cn.roundTrip(ctx, request)
	p.give(cn, err == nil)
	return answer, err
}

// Conns tells how many connections to an address are open and idle.
func (c *Client) Conns(address netip.AddrPort) (open, idle int) {
	return c.pool(address).counts()
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address netip.AddrPort) {
	c.pool(address).closeIdle()
}

func (c *Client) pool(address netip.AddrPort) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newPool(c, address)
		c.pools[address] = p
	}
	return p
}
