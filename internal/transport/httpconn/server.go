package httpconn

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
)

const (
	// defaultMaxHeader bounds the header of a request, in bytes.
	defaultMaxHeader = 16 << 10
	// defaultHeaderTimeout bounds the time in which a header must arrive.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout bounds the time for which a connection may be silent.
	defaultIdleTimeout = 15 * time.Second
	// closeGrace is how long Close waits for answers that are being written.
	closeGrace = 100 * time.Millisecond
	// errorLogBytesPerSecond bounds the lines about handlers that panicked.
	errorLogBytesPerSecond = 8 << 10
)

// Server is an HTTP server on one address.
type Server struct {
	http    *http.Server
	handler http.Handler
	guard   *inbound.Guard
	limits  func() RequestLimits
	refuse  Refusal
	address netip.AddrPort
}

// Limits bound the requests and connections of a server.
type Limits struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// MaxConns is the maximum number of open connections.
	MaxConns int
}

// RequestLimits bound the requests of a server. A value of 0 means the default.
type RequestLimits struct {
	inbound.Limits
	MaxBody int
}

// Refusal answers a request that exceeds a limit; the status is 413 or 431.
type Refusal func(w http.ResponseWriter, status int, message string)

// ServerOption sets an option of a Server.
type ServerOption func(*Server)

// WithGuard makes the server share the budget of a guard.
func WithGuard(guard *inbound.Guard) ServerOption { return func(s *Server) { s.guard = guard } }

// WithRequestLimits sets limits that may change while the server runs.
func WithRequestLimits(limits func() RequestLimits) ServerOption {
	return func(s *Server) { s.limits = limits }
}

// WithRefusal sets how requests that exceed a limit are answered.
func WithRefusal(refuse Refusal) ServerOption { return func(s *Server) { s.refuse = refuse } }

// connKey is the key of a request's *inbound.Conn in its context.
type connKey struct{}

// Listen starts a server. Each connection has its own goroutine, so that held requests
// never block each other; the handler must bound the number of requests that it holds. It is
// called once the header of a request has been read.
func Listen(address netip.AddrPort, handler http.Handler, limits Limits, opts ...ServerOption) (*Server, error) {
	s := &Server{
		handler: handler, guard: inbound.NewGuard(0, nil), limits: func() RequestLimits { return RequestLimits{} },
		refuse: func(w http.ResponseWriter, status int, message string) { http.Error(w, message, status) },
	}
	for _, apply := range opts {
		apply(s)
	}
	s.limits = withDefaults(s.limits, limits.MaxBody)
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if s.address, err = netip.ParseAddrPort(listener.Addr().String()); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "read the bound address"), listener.Close())
	}
	s.http = &http.Server{
		Handler: s, ConnState: connState, DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		// The connection bounds headers and times by the limits in force.
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: 0, IdleTimeout: 0,
		ErrorLog: log.New(newErrorLog(os.Stderr), "", log.LstdFlags),
	}
	guarded := s.guard.Listen(listener, limits.MaxConns, func() inbound.Limits { return s.limits().Limits })
	go func() { _ = s.http.Serve(guarded) }()
	return s, nil
}

// maxHeaderBytes is the limit of net/http on a header; those of the configuration are below.
const maxHeaderBytes = 1 << 20

func withDefaults(limits func() RequestLimits, maxBody int) func() RequestLimits {
	return func() RequestLimits {
		l := limits()
		if l.MaxBody <= 0 {
			l.MaxBody = maxBody
		}
		if l.MaxHeaderBytes <= 0 {
			l.MaxHeaderBytes = defaultMaxHeader
		}
		if l.HeaderTimeout <= 0 {
			l.HeaderTimeout = defaultHeaderTimeout
		}
		if l.IdleTimeout <= 0 {
			l.IdleTimeout = defaultIdleTimeout
		}
		return l
	}
}

func connState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*inbound.Conn)
	if !ok {
		return
	}
	switch state { //nolint:exhaustive // Other states need no action.
	case http.StateActive:
		conn.HeaderRead()
	case http.StateIdle:
		conn.Idle()
	}
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	_ = s.Shutdown(ctx)
}

// Shutdown stops the server once its connections are done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errors.Wrap(errors.CombineErrors(err, s.http.Close()), "stop the server")
}

// Disconnected returns a function that reports whether the client of a request has
// disconnected. This is noticed once the body has been read.
func Disconnected(r *http.Request) func() bool {
	ctx := r.Context()
	return func() bool { return ctx.Err() != nil }
}
