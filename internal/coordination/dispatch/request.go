// Package dispatch carries one request from its admission to its answer, and
// makes sure that what it says of the request is true.
package dispatch

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// Request is one caller's request.
type Request struct {
	Kind       string
	Team       string
	ID         string
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Host is the upstream that gave it.
	Host string
	// Joined is set when the answer is that of an earlier request with the same id.
	Joined bool
}

// Upstream sends a request to a host.
type Upstream interface {
	// Send gives the whole answer or an error with its verdict. A fresh send
	// uses a new connection.
	Send(ctx context.Context, address netip.AddrPort, r *Request, fresh bool) (Reply, error)
}

// Reply is what an upstream said.
type Reply struct {
	Answer
	// Busy is set when the upstream refused the request without running it.
	Busy bool
	// Leaving is set when the upstream says that it leaves.
	Leaving bool
}

// Claims claims the keys of non-idempotent requests.
type Claims interface {
	Ask(ctx context.Context, key claim.Key, issued time.Time) (*claim.Handle, claim.Result, error)
	Window() time.Duration
}

// Joiner waits for the answer of a request that another entry host has in flight.
type Joiner interface {
	Join(ctx context.Context, holder string, key claim.Key) (Answer, verdict.Verdict, bool)
}
