// Package httpconn provides an HTTP client and server on top of nbio. The client dials
// and pools its connections itself, so that it knows whether a byte of a failed request
// may have been sent.
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

// The logger and the buffer pool of nbio are global variables. The log level suppresses
// its lines on start and stop, which are not events of this program. Its default pool
// frees a buffer twice if the connection breaks in the middle of an answer, after which
// two connections share that buffer; the standard allocator leaves buffers to the garbage
// collector.
func init() { //nolint:gochecknoinits // See above.
	logging.SetLevel(logging.LevelError)
	mempool.DefaultMemPool = mempool.NewSTD()
}

const (
	// defaultMaxConns is the maximum number of connections to one address.
	defaultMaxConns = 64
	// defaultMaxAnswer bounds the size of an answer, in bytes.
	defaultMaxAnswer = 16 << 20
	// defaultDialTimeout bounds the time to connect.
	defaultDialTimeout = time.Second
	// defaultIdleLimit is how long an idle connection may still be reused. A middlebox
	// may silently drop an idle connection before either end notices.
	defaultIdleLimit = 10 * time.Second
)

// Request is one HTTP request.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// NewConn is set to send the request over a new connection.
	NewConn bool
}

// Answer is a complete HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stage is how far a request had come when it failed.
type Stage int

const (
	// Unsent means that no byte of the request was sent.
	Unsent Stage = iota
	// MaybeSent means that some bytes of the request may have been sent.
	MaybeSent
)

// Error is a failed request.
type Error struct {
	Stage Stage
	// TooLarge is set if the answer exceeded the client's size limit.
	TooLarge bool
	cause    error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// StageOf returns the stage of a failed request. It is MaybeSent, the stage that promises
// less, if err is not an Error.
func StageOf(err error) Stage {
	var e *Error
	if errors.As(err, &e) {
		return e.Stage
	}
	return MaybeSent
}

// Client keeps a bounded pool of connections for each address.
type Client struct {
	engine      *engine
	maxConns    int
	dialTimeout time.Duration
	idleLimit   time.Duration

	closing sync.Once
	mu      sync.Mutex
	pools   map[netip.AddrPort]*pool
}

// Option sets an option of a Client.
type Option func(*options)

type options struct {
	maxConns    int
	maxAnswer   int
	dialTimeout time.Duration
	idleLimit   time.Duration
}

// WithMaxConns bounds the connections to one address.
func WithMaxConns(n int) Option { return func(o *options) { o.maxConns = n } }

// WithMaxAnswer bounds the size of an answer, in bytes.
func WithMaxAnswer(n int) Option { return func(o *options) { o.maxAnswer = n } }

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) Option { return func(o *options) { o.dialTimeout = d } }

// New starts a client; the caller must close it.
func New(opts ...Option) (*Client, error) {
	o := options{
		maxConns: defaultMaxConns, maxAnswer: defaultMaxAnswer,
		dialTimeout: defaultDialTimeout, idleLimit: defaultIdleLimit,
	}
	for _, apply := range opts {
		apply(&o)
	}
	e, err := newEngine(nbhttp.Config{
		Name:              "httpconn",
		MaxHTTPBodySize:   o.maxAnswer,
		ReadLimit:         o.maxAnswer + 1<<20,
		SupportServerOnly: true,
		ServerExecutor:    func(f func()) { go f() },
	})
	if err == nil {
		err = e.start()
	}
	if err != nil {
		return nil, errors.Wrap(err, "start the HTTP client")
	}
	return &Client{
		engine: e, maxConns: o.maxConns, dialTimeout: o.dialTimeout, idleLimit: o.idleLimit,
		pools: map[netip.AddrPort]*pool{},
	}, nil
}

// Close stops the client and closes its connections. Further calls have no effect.
func (c *Client) Close() { c.closing.Do(c.closeNow) }

func (c *Client) closeNow() {
	c.mu.Lock()
	for _, p := range c.pools {
		p.closeIdleConns()
	}
	c.mu.Unlock()
	c.engine.stop()
}

// Do sends a request and waits for the complete answer. If ctx ends first, Do closes the
// connection and returns an Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request Request) (Answer, error) {
	p := c.pool(address)
	cn, err := p.get(ctx, request.NewConn)
	if err != nil {
		return Answer{}, &Error{Stage: Unsent, cause: err}
	}
	answer, err := cn.roundTrip(ctx, request)
	p.put(cn, err == nil)
	return answer, err
}

// Conns returns the number of open connections to an address, and how many of them are
// idle.
func (c *Client) Conns(address netip.AddrPort) (open, idle int) {
	return c.pool(address).counts()
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address netip.AddrPort) {
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
