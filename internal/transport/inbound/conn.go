package inbound

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// answerTimeout bounds the time in which a client must take a part of an answer.
	answerTimeout = 10 * time.Second
	// readAhead is how many bytes of a body may be read together with a header: the size of
	// the buffer of net/http.
	readAhead = 4 << 10
)

// phase is what a connection waits for.
type phase int32

const (
	// idle waits for the first byte of a request.
	idle phase = iota
	// inHeader waits for the rest of a header.
	inHeader
	// inBody waits for the body, or for the server to read it.
	inBody
	// discarding waits for the rest of a body that is not kept.
	discarding
	// executing has received the whole request.
	executing
)

// Conn is a connection whose received bytes are counted until they are answered.
type Conn struct {
	net.Conn
	listener *Listener
	client   netip.Addr
	received atomic.Int64
	phase    atomic.Int32
	writing  atomic.Bool
	closed   atomic.Bool
	// sinceNano is when the current request began, or when the connection became idle.
	sinceNano atomic.Int64
	// headerBytes counts the bytes read since the connection became idle. Only the
	// goroutine that reads headers uses it.
	headerBytes int
	head        head
}

func newConn(l *Listener, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, listener: l, client: addressOf(raw)}
	c.sinceNano.Store(time.Now().UnixNano())
	return c
}

func (c *Conn) since() time.Time { return time.Unix(0, c.sinceNano.Load()) }

// sheddable reports whether the connection waits for its client, so that closing it
// interrupts no request that is being carried out.
func (c *Conn) sheddable() bool {
	return c.writing.Load() || phase(c.phase.Load()) != executing
}

// Idle releases the bytes of a request that was answered, and awaits the next one.
func (c *Conn) Idle() {
	c.release(c.received.Swap(0))
	c.headerBytes = 0
	c.sinceNano.Store(time.Now().UnixNano())
	c.phase.Store(int32(idle))
}

// HeaderRead marks the connection as receiving the body of a request.
func (c *Conn) HeaderRead() { c.phase.Store(int32(inBody)) }

// Discard releases the bytes of a request; the rest of its body does not count.
func (c *Conn) Discard() {
	c.release(c.received.Swap(0))
	c.phase.Store(int32(discarding))
}

// Execute marks the request as read whole and being carried out, so that the connection is not
// shed. It returns false if the connection was closed before: the request must not be carried out then.
func (c *Conn) Execute() bool {
	c.phase.Store(int32(executing))
	return !c.closed.Load()
}

// Refuse counts a refusal of the connection's request.
func (c *Conn) Refuse(cause Cause) {
	c.listener.guard.Refused(cause, c.listener.Addr().String(), c.client.String())
}

// Read reads within the limits on headers, and counts what it reads.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.limits == nil {
		return c.count(c.Conn.Read(p))
	}
	before := phase(c.phase.Load())
	if before > inHeader {
		n, err := c.count(c.Conn.Read(p))
		c.head.record(p[:n], phase(c.phase.Load()))
		return n, err
	}
	limits := c.listener.limits()
	deadline := c.since().Add(limits.IdleTimeout)
	if before == inHeader {
		deadline = c.since().Add(limits.HeaderTimeout)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err //nolint:wrapcheck // As net.Conn.
	}
	n, err := c.count(c.Conn.Read(p))
	c.head.record(p[:n], before)
	if before == idle && n > 0 {
		c.sinceNano.Store(time.Now().UnixNano())
		c.phase.Store(int32(inHeader))
	}
	if before == inHeader && errors.Is(err, os.ErrDeadlineExceeded) {
		c.Refuse(CauseHeaderTime)
	}
	if c.headerBytes += n; c.headerBytes > limits.MaxHeaderBytes+readAhead {
		c.Refuse(CauseHeaderSize)
		_, _ = io.WriteString(c, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return 0, errors.CombineErrors(io.EOF, c.Close())
	}
	return n, err
}

// count accounts the result of a read.
func (c *Conn) count(n int, err error) (int, error) {
	if n > 0 && phase(c.phase.Load()) != discarding {
		c.listener.guard.add(c, n)
	}
	if c.closed.Load() && err != nil {
		return n, errShed
	}
	return n, err //nolint:wrapcheck // As net.Conn.
}

// Write closes the connection if the client does not take the data in time. The data counts
// as held meanwhile.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return 0, err //nolint:wrapcheck // As net.Conn.
	}
	c.listener.guard.add(c, len(p))
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	c.writing.Store(false)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.closeFor(CauseUnread)
	}
	if c.listener.limits == nil {
		// Without requests that can be told apart, a write answers what was received.
		c.release(c.received.Swap(0))
	} else {
		c.release(c.take(int64(len(p))))
	}
	return n, err //nolint:wrapcheck // As net.Conn.
}

// CloseWrite shuts down the sending side, if the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.listener.guard.mu.Lock()
	c.forget()
	c.listener.guard.mu.Unlock()
	c.closed.Store(true)
	c.release(c.received.Swap(0))
	return c.Conn.Close() //nolint:wrapcheck // As net.Conn.
}

// closeFor closes the connection because a limit is reached.
func (c *Conn) closeFor(cause Cause) {
	if !c.closed.Swap(true) {
		c.Refuse(cause)
	}
	_ = c.Close()
}

// forget removes the connection from the counts of its listener. The guard is locked.
func (c *Conn) forget() {
	l := c.listener
	if _, ok := l.guard.conns[c]; !ok {
		return
	}
	delete(l.guard.conns, c)
	l.open--
	if l.addresses[c.client]--; l.addresses[c.client] <= 0 {
		delete(l.addresses, c.client)
	}
}

// take takes at most n bytes from what the connection holds.
func (c *Conn) take(n int64) int64 {
	for {
		held := c.received.Load()
		if taken := min(n, held); c.received.CompareAndSwap(held, held-taken) {
			return taken
		}
	}
}

func (c *Conn) release(n int64) { c.listener.guard.received.Add(-n) }
