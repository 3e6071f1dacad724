package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// keepAlive makes the kernel detect that the peer of an idle connection is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// conn is a connection that carries at most one request at a time.
type conn struct {
	client    *nbhttp.ClientConn
	host      string
	closed    atomic.Bool
	idleSince time.Time
}

type result struct {
	answer Answer
	err    error
}

// dial connects before any request is written, so that a failure to connect is known to
// have sent nothing.
func dial(ctx context.Context, c *Client, address netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: keepAlive}
	tcp, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	cn := &conn{host: address.String()}
	cn.client = &nbhttp.ClientConn{
		Engine: c.engine.Engine,
		Dial:   func(string, string) (net.Conn, error) { return c.engine.adopt(tcp) },
	}
	cn.client.OnClose(func() { cn.closed.Store(true) })
	return cn, nil
}

func (c *conn) isClosed() bool { return c.closed.Load() }

func (c *conn) close() {
	c.closed.Store(true)
	c.client.Close()
}

// roundTrip sends a request and waits for the answer or the end of ctx.
func (c *conn) roundTrip(ctx context.Context, request Request) (Answer, error) {
	body := io.Reader(http.NoBody)
	if len(request.Body) > 0 {
		body = bytes.NewReader(request.Body)
	}
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.host+request.Path, body)
	if err != nil {
		return Answer{}, &Error{Stage: Unsent, cause: err}
	}
	for name, values := range request.Header {
		r.Header[name] = values
	}
	done := make(chan result, 1)
	c.client.Do(r, func(response *http.Response, _ net.Conn, err error) {
		done <- readAnswer(response, err)
	})
	select {
	case got := <-done:
		if got.err != nil {
			return Answer{}, &Error{Stage: MaybeSent, TooLarge: errors.Is(got.err, nbhttp.ErrTooLong), cause: got.err}
		}
		return got.answer, nil
	case <-ctx.Done():
		return Answer{}, &Error{Stage: MaybeSent, cause: errors.Wrapf(ctx.Err(), "no answer from %s", c.host)}
	}
}

// readAnswer copies the body of a response, because nbio reuses it after the callback.
func readAnswer(response *http.Response, err error) result {
	if err != nil {
		return result{err: err}
	}
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	if response.Body == nil {
		return result{answer: answer}
	}
	if answer.Body, err = io.ReadAll(response.Body); err != nil {
		return result{err: errors.Wrap(err, "read the answer")}
	}
	return result{answer: answer}
}
