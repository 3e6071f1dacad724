package httpconn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Server is an HTTP server on one address.
type Server struct {
	engine  *engine
	address netip.AddrPort
}

// Limits bound the requests and connections of a server.
type Limits struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// MaxConns is the maximum number of open connections.
	MaxConns int
}

// Listen starts a server. Each request gets its own goroutine, so that held requests
// never block each other; the handler must bound the number of requests that it holds.
func Listen(address netip.AddrPort, handler http.Handler, limits Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	var e *engine
	e, err = newEngine(nbhttp.Config{
		Name:            "server-" + address.String(),
		Network:         "tcp",
		Addrs:           []string{address.String()},
		Listen:          func(string, string) (net.Listener, error) { return adopter{listener, e}, nil },
		Handler:         handler,
		MaxHTTPBodySize: limits.MaxBody,
		ReadLimit:       limits.MaxBody + 1<<20,
		MaxLoad:         limits.MaxConns,
		ServerExecutor:  func(f func()) { go f() },
	})
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "serve on %s", address), listener.Close())
	}
	orderOpenBeforeData(e.Engine)
	if err := e.start(); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "serve on %s", address), listener.Close())
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "read the bound address")
	}
	return &Server{engine: e, address: bound}, nil
}

// adopter hands accepted connections over to an engine.
type adopter struct {
	net.Listener
	engine *engine
}

// Accept returns the next connection.
func (a adopter) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.engine.adopt(c)
}

// orderOpenBeforeData shows the race detector a happens-before relation that otherwise
// runs through the kernel: the accepting goroutine sets a connection up before the poller
// reads data from it.
func orderOpenBeforeData(engine *nbhttp.Engine) {
	var opened atomic.Int64
	engine.OnOpen(func(net.Conn) { opened.Add(1) })
	engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = opened.Load()
		c.DataHandler()(c, data)
	})
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.engine.stop()
}

// Shutdown stops the server once its connections are done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.engine.closeProbes()
	return s.engine.Shutdown(ctx)
}

// Disconnected returns a function that reports whether the client of a request has
// disconnected. It polls the connection, because nbio runs its close callback only after
// the handler.
func Disconnected(w http.ResponseWriter) func() bool {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return func() bool { return false }
	}
	wrapped, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return func() bool { return false }
	}
	c, ok := wrapped.Conn.(*nbio.Conn)
	if !ok {
		return func() bool { return false }
	}
	return func() bool {
		closed, _ := c.IsClosed()
		return closed
	}
}
