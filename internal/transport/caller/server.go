// Package caller takes callers' requests over HTTP.
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
)

// Headers of requests and answers.
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

// sweepInterval is how often waiting requests are checked for gone callers.
const sweepInterval = 20 * time.Millisecond

// Dispatcher serves requests.
type Dispatcher interface {
	Serve(ctx context.Context, r *dispatch.Request) (dispatch.Answer, error)
}

// Limits bound what callers may ask.
type Limits struct {
	MaxBodyBytes   int
	MaxConns       int
	MaxHeld        int
	MaxHeaders     int
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Server is the callers' listener.
type Server struct {
	http       *httpconn.Server
	dispatcher Dispatcher
	limits     Limits
	// fresh tells whether the configuration is followed from the log.
	fresh    func() bool
	held     atomic.Int64
	draining atomic.Bool

	mu      sync.Mutex
	waiting map[*waiting]struct{}
	stop    chan struct{}
}

// waiting is a request whose caller may go away.
type waiting struct {
	gone   func() bool
	cancel context.CancelFunc
}

// Listen starts to take requests.
func Listen(address netip.AddrPort, dispatcher Dispatcher, fresh func() bool, limits Limits) (*Server, error) {
	s := &Server{
		dispatcher: dispatcher, fresh: fresh, limits: limits,
		waiting: map[*waiting]struct{}{}, stop: make(chan struct{}),
	}
	server, err := httpconn.Listen(address, s, httpconn.Limits{MaxBody: limits.MaxBodyBytes, MaxConns: limits.MaxConns})
	if err != nil {
		return nil, err
	}
	s.http = server
	go s.sweep()
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() netip.AddrPort { return s.http.Address() }

// Held counts the requests that have no answer yet.
func (s *Server) Held() int { return int(s.held.Load()) }

// Drain tells the balancer to go elsewhere and refuses what comes anew.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining tells whether the server refuses what comes anew.
func (s *Server) Draining() bool { return s.draining.Load() }

// Close waits for the held requests until ctx ends, then stops.
func (s *Server) Close(ctx context.Context) {
	for s.held.Load() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, sweepInterval)
	}
	close(s.stop)
	// The last answers may still be on their way out of the write buffers.
	_ = pause.For(ctx, sweepInterval)
	s.http.Close()
}

// ServeHTTP answers one request; /health is for the balancer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.health(w)
		return
	}
	defer s.held.Add(-1)
	if held := s.held.Add(1); held > int64(s.limits.MaxHeld) {
		s.refuse(w, verdict.Refuse(verdict.CauseOverloaded, "this entry host holds as many requests as it may; try another"))
		return
	}
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		s.refuse(w, verdict.Refuse(verdict.CauseShuttingDown, "this entry host is shutting down; try another"))
		return
	}
	request, err := s.read(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx, done := s.watch(httpconn.Disconnected(w))
	answer, err := s.dispatcher.Serve(ctx, request)
	done()
	if err != nil {
		s.refuse(w, err)
		return
	}
	s.answer(w, request, answer)
}

func (s *Server) health(w http.ResponseWriter) {
	if s.draining.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// read checks a request and takes its body.
func (s *Server) read(r *http.Request) (*dispatch.Request, error) {
	if len(r.Header) > s.limits.MaxHeaders {
		return nil, verdict.Refuse(verdict.CauseTooLarge, fmt.Sprintf("more than %d headers", s.limits.MaxHeaders))
	}
	request := &dispatch.Request{
		Kind: r.Header.Get(HeaderKind), Team: r.Header.Get(HeaderTeam), ID: r.Header.Get(HeaderRequestID),
		Method: r.Method, Path: r.URL.RequestURI(), Header: forwarded(r.Header),
	}
	if request.Kind == "" {
		return nil, verdict.Refuse(verdict.CauseBadRequest, "set "+HeaderKind+" to the kind of work")
	}
	idempotent, err := strconv.ParseBool(withDefault(r.Header.Get(HeaderIdempotent), "true"))
	if err != nil {
		return nil, verdict.Refuse(verdict.CauseBadRequest, HeaderIdempotent+" must be true or false")
	}
	request.Idempotent = idempotent
	if request.ID == "" {
		if !idempotent {
			return nil, verdict.Refuse(verdict.CauseIDRequired, "a non-idempotent request needs "+HeaderRequestID)
		}
		request.ID = uuid.NewString()
	}
	timeout, err := s.timeout(r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, err
	}
	request.Deadline = time.Now().Add(timeout)
	request.Body, err = io.ReadAll(io.LimitReader(r.Body, int64(s.limits.MaxBodyBytes)+1))
	if err != nil {
		return nil, verdict.Refuse(verdict.CauseBadRequest, "the body can't be read: "+err.Error())
	}
	if len(request.Body) > s.limits.MaxBodyBytes {
		return nil, verdict.Refuse(verdict.CauseTooLarge, fmt.Sprintf("the body is larger than %d bytes", s.limits.MaxBodyBytes))
	}
	return request, nil
}

func (s *Server) timeout(text string) (time.Duration, error) {
	if text == "" {
		return s.limits.DefaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > s.limits.MaxTimeout {
		return 0, verdict.Refuse(verdict.CauseBadRequest,
			fmt.Sprintf("%s must be a time such as 1.4s, above 0 and at most %s", HeaderTimeout, s.limits.MaxTimeout))
	}
	return timeout, nil
}

func withDefault(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// forwarded keeps the headers that are the upstream's affair.
func forwarded(header http.Header) http.Header {
	kept := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "Authorization", "Traceparent"} {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

func (s *Server) answer(w http.ResponseWriter, r *dispatch.Request, answer dispatch.Answer) {
	header := w.Header()
	header.Set(HeaderVerdict, string(verdict.Ran))
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderUpstream, answer.Host)
	s.markConfig(header)
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

func (s *Server) markConfig(header http.Header) {
	if s.fresh() {
		header.Set(HeaderConfig, "current")
		return
	}
	header.Set(HeaderConfig, "cut-off")
}

// problem is the body of a refusal.
type problem struct {
	Verdict verdict.Verdict `json:"verdict"`
	Cause   verdict.Cause   `json:"cause"`
	Message string          `json:"message"`
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	e := verdict.Of(err)
	header := w.Header()
	header.Set(HeaderVerdict, string(e.Verdict))
	header.Set(HeaderCause, string(e.Cause))
	s.markConfig(header)
	header.Set("Content-Type", "application/json")
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		seconds := int64(refusal.After/time.Second) + 1
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

// watch gives a context that ends when the caller has gone.
func (s *Server) watch(gone func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	entry := &waiting{gone: gone, cancel: cancel}
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

// sweep cancels the requests of callers that have gone.
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
			if entry.gone() {
				entry.cancel()
				delete(s.waiting, entry)
			}
		}
		s.mu.Unlock()
	}
}
