// Package dispatch takes each request from admission to its answer: it queues the
// request, sends it to an upstream host, retries it where that is safe, and
// reports whether it ran, did not run or may have run.
package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// Request is a request of a caller, with the dispatch options from its headers.
type Request struct {
	Kind       string
	Team       string
	ID         string
	Idempotent bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time

	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is the complete answer of an upstream host.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Host is the upstream host that sent it.
	Host string
	// Joined is set when the answer is that of an earlier request with the same id.
	Joined bool
}

// Upstream sends requests to upstream hosts.
type Upstream interface {
	// Send returns the complete answer or an error that carries its verdict.
	// With newConn it does not reuse a connection.
	Send(ctx context.Context, address netip.AddrPort, r *Request, newConn bool) (Reply, error)
}

// Reply is the answer of an upstream host with the status that the host reports.
type Reply struct {
	Answer
	// Busy is set if the host refused the request without running it.
	Busy bool
	// Leaving is set if the host announces that it is leaving service.
	Leaving bool
}

// Claimer claims the keys of non-idempotent requests, so that each runs at most
// once. Window is the age up to which a claim is remembered.
type Claimer interface {
	Claim(ctx context.Context, key claim.Key, issued time.Time) (*claim.Handle, claim.Result, error)
	Window() time.Duration
}

// Joiner gets the answer of a request that another entry host has in flight or
// has finished recently.
type Joiner interface {
	Join(ctx context.Context, holder string, key claim.Key) (Answer, verdict.Verdict, bool)
}
