// Package caller serves callers' requests over HTTP.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hornbeammast/hornbeammast/internal/coordination/admission"
	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderKind       = "Hornbeammast-Kind"
	HeaderTeam       = "Hornbeammast-Team"
	HeaderRequestID  = "Hornbeammast-Request-Id"
	HeaderIdempotent = "Hornbeammast-Idempotent"
	HeaderTimeout    = "Hornbeammast-Timeout"
	HeaderVerdict    = "Hornbeammast-Verdict"
	HeaderCause      = "Hornbeammast-Cause"
	HeaderConfig     = "Hornbeammast-Config"
	HeaderJoined     = "Hornbeammast-Joined"
	HeaderUpstream   = "Hornbeammast-Upstream"
)

// sweepInterval is how often the waiting requests are checked for callers that have
// disconnected.
const sweepInterval = 20 * time.Millisecond

// Dispatcher sends requests to upstreams and returns their answers.
type Dispatcher interface {
	Serve(ctx context.Context, r *dispatch.Request) (dispatch.Answer, error)
}

// Limits bound callers' requests and connections.
type Limits struct {
	MaxBodyBytes   int
	MaxConns       int
	MaxHeld        int
	MaxHeaders     int
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// Events gets an event if a limit on clients is reached; it may be nil.
	Events inbound.Events
}

// maxReceivedBytes bounds the bytes received and not yet answered, in bytes, whatever the other
// limits are.
const maxReceivedBytes = 128 << 20

// maxReceived is the budget of bytes received and not yet answered: the bodies of the requests
// that may be held.
func (l *Limits) maxReceived() int64 {
	return min(maxReceivedBytes, int64(l.MaxHeld)*int64(l.MaxBodyBytes))
}

// Server serves callers' requests.
type Server struct {
	http       *httpconn.Server
	dispatcher Dispatcher
	limits     Limits
	// configCurrent reports whether the configuration is kept up to date from the log.
	configCurrent func() bool
	held          atomic.Int64
	draining      atomic.Bool

	mu      sync.Mutex
	waiting map[*waitingRequest]struct{}
	stop    chan struct{}
}

// waitingRequest is a request that is cancelled if its caller disconnects.
type waitingRequest struct {
	disconnected func() bool
	cancel       context.CancelFunc
}

// Listen starts a server at an address. configCurrent reports whether the configuration
// is kept up to date from the log.
func Listen(address netip.AddrPort, dispatcher Dispatcher, configCurrent func() bool, limits Limits) (*Server, error) {
	s := &Server{
		dispatcher: dispatcher, configCurrent: configCurrent, limits: limits,
		waiting: map[*waitingRequest]struct{}{}, stop: make(chan struct{}),
	}
	server, err := httpconn.Listen(address, s, httpconn.Limits{MaxBody: limits.MaxBodyBytes, MaxConns: limits.MaxConns},
		httpconn.WithGuard(inbound.NewGuard(limits.maxReceived(), limits.Events)), httpconn.WithRefusal(s.refuse))
	if err != nil {
		return nil, err
	}
	s.http = server
	go s.sweep()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.http.Address() }

// Held returns the number of requests that have not been answered yet.
func (s *Server) Held() int { return int(s.held.Load()) }

// Drain makes the server fail its health checks and refuse new requests.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether the server refuses new requests.
func (s *Server) Draining() bool { return s.draining.Load() }

// Close waits until the held requests are answered or ctx ends, then stops the server.
func (s *Server) Close(ctx context.Context) {
	for s.held.Load() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, sweepInterval)
	}
	close(s.stop)
	// The last answers may still be in the write buffers.
	_ = pause.For(ctx, sweepInterval)
	s.http.Close()
}

// ServeHTTP answers one request; the load balancer's health checks use /health.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.health(w)
		return
	}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		s.writeProblem(w, verdict.NotRunError(verdict.CauseShuttingDown, "this entry host is shutting down; try another"))
		return
	}
	request, err := s.readRequest(r)
	if err != nil {
		s.writeProblem(w, err)
		return
	}
	// A request whose body does not end takes no place of those that are held.
	defer s.held.Add(-1)
	if held := s.held.Add(1); held > int64(s.limits.MaxHeld) {
		s.writeProblem(w, verdict.NotRunError(verdict.CauseOverloaded, "this entry host has reached its limit of held requests; try another"))
		return
	}
	ctx, done := s.watch(httpconn.Disconnected(r))
	answer, err := s.dispatcher.Serve(ctx, request)
	done()
	if err != nil {
		s.writeProblem(w, err)
		return
	}
	s.writeAnswer(w, request, answer)
}

// refuse answers a request that exceeds a limit of the transport.
func (s *Server) refuse(w http.ResponseWriter, status int, message string) {
	cause := verdict.CauseTooLarge
	if status == http.StatusBadRequest {
		cause = verdict.CauseBadRequest
	}
	s.writeProblem(w, verdict.NotRunError(cause, message))
}

func (s *Server) health(w http.ResponseWriter) {
	if s.draining.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readRequest validates a request and reads its body.
func (s *Server) readRequest(r *http.Request) (*dispatch.Request, error) {
	if len(r.Header) > s.limits.MaxHeaders {
		return nil, verdict.NotRunError(verdict.CauseTooLarge, fmt.Sprintf("more than %d headers", s.limits.MaxHeaders))
	}
	request := &dispatch.Request{
		Kind: r.Header.Get(HeaderKind), Team: r.Header.Get(HeaderTeam), ID: r.Header.Get(HeaderRequestID),
		Method: r.Method, Path: r.URL.RequestURI(), Header: forwardedHeaders(r.Header),
	}
	if request.Kind == "" {
		return nil, verdict.NotRunError(verdict.CauseBadRequest, "set "+HeaderKind+" to the kind of work")
	}
	idempotent, err := strconv.ParseBool(withDefault(r.Header.Get(HeaderIdempotent), "true"))
	if err != nil {
		return nil, verdict.NotRunError(verdict.CauseBadRequest, HeaderIdempotent+" must be true or false")
	}
	request.Idempotent = idempotent
	if request.ID == "" {
		if !idempotent {
			return nil, verdict.NotRunError(verdict.CauseIDRequired, "a non-idempotent request needs "+HeaderRequestID)
		}
		request.ID = uuid.NewString()
	}
	timeout, err := s.timeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	request.Body, err = io.ReadAll(io.LimitReader(r.Body, int64(s.limits.MaxBodyBytes)+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.NotRunError(verdict.CauseTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.limits.MaxBodyBytes))
	}
	if err != nil {
		return nil, verdict.NotRunError(verdict.CauseBadRequest, "the body can't be read: "+err.Error())
	}
	if len(request.Body) > s.limits.MaxBodyBytes {
		return nil, verdict.NotRunError(verdict.CauseTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.limits.MaxBodyBytes))
	}
	request.Deadline = time.Now().Add(timeout)
	return request, nil
}

func (s *Server) timeout(text string) (time.Duration, error) {
	if text == "" {
		return s.limits.DefaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > s.limits.MaxTimeout {
		return 0, verdict.NotRunError(verdict.CauseBadRequest,
			fmt.Sprintf("%s must be a duration such as 1.4s, above 0 and at most %s", HeaderTimeout, s.limits.MaxTimeout))
	}
	return timeout, nil
}

func withDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// forwardedHeaders returns the headers of a request that are passed on to the upstream.
func forwardedHeaders(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Authorization", "Traceparent"} {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *dispatch.Request, answer dispatch.Answer) {
	header := w.Header()
	header.Set(HeaderVerdict, string(verdict.Ran))
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderUpstream, answer.Host)
	s.setConfigHeader(header)
	if answer.Joined {
		header.Set(HeaderJoined, "true")
	}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (s *Server) setConfigHeader(header http.Header) {
	if s.configCurrent() {
		header.Set(HeaderConfig, "current")
		return
	}
	header.Set(HeaderConfig, "cut-off")
}

// problem is the body of an answer to a request that was refused or failed.
type problem struct {
	Verdict verdict.Verdict `json:"verdict"`
	Cause   verdict.Cause   `json:"cause"`
	Message string          `json:"message"`
}

func (s *Server) writeProblem(w http.ResponseWriter, err error) {
	e := verdict.FromError(err)
	header := w.Header()
	header.Set(HeaderVerdict, string(e.Verdict))
	header.Set(HeaderCause, string(e.Cause))
	s.setConfigHeader(header)
	header.Set("Content-Type", "application/json")
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		seconds := int64(refusal.RetryAfter/time.Second) + 1
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, marshalErr := json.Marshal(problem{Verdict: e.Verdict, Cause: e.Cause, Message: e.Message})
	if marshalErr != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Cause.Status())
	_, _ = w.Write(body)
}

// watch returns a context that is cancelled when the caller disconnects, and a function
// that ends the watch.
func (s *Server) watch(disconnected func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	entry := &waitingRequest{disconnected: disconnected, cancel: cancel}
	s.mu.Lock()
	s.waiting[entry] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.waiting, entry)
		s.mu.Unlock()
		cancel()
	}
}

// sweep cancels the requests of callers that have disconnected, until the server stops.
func (s *Server) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		for entry := range s.waiting {
			if entry.disconnected() {
				entry.cancel()
				delete(s.waiting, entry)
			}
		}
		s.mu.Unlock()
	}
}
