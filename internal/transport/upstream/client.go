// Package upstream sends callers' requests to upstream hosts.
package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// Headers of the requests to upstreams and of their answers.
const (
	HeaderRequestID = "Hornbeammast-Request-Id"
	HeaderKind      = "Hornbeammast-Kind"
	HeaderTeam      = "Hornbeammast-Team"
	// HeaderBusy on a 503 means that the upstream has not run the request.
	HeaderBusy = "Hornbeammast-Worker-Busy"
	// HeaderLeaving on any answer means that the upstream is about to leave.
	HeaderLeaving = "Hornbeammast-Worker-Leaving"
)

// Client sends requests to upstream hosts.
type Client struct {
	http *httpconn.Client
}

// New creates a client that sends requests over the connections of an HTTP client.
func New(client *httpconn.Client) *Client { return &Client{http: client} }

// Send sends a request and returns the whole answer, or an error with its verdict. If
// newConn is set, it dials a new connection.
func (c *Client) Send(ctx context.Context, address netip.AddrPort, r *dispatch.Request, newConn bool) (dispatch.Reply, error) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderRequestID, r.ID)
	header.Set(HeaderKind, r.Kind)
	header.Set(HeaderTeam, r.Team)
	answer, err := c.http.Do(ctx, address, httpconn.Request{
		Method: r.Method, Path: r.Path, Header: header, Body: r.Body, NewConn: newConn,
	})
	if err != nil {
		return dispatch.Reply{}, sendError(ctx, err)
	}
	return dispatch.Reply{
		Answer: dispatch.Answer{
			Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body, Host: address.String(),
		},
		Busy:    answer.Status == http.StatusServiceUnavailable && answer.Header.Get(HeaderBusy) != "",
		Leaving: answer.Header.Get(HeaderLeaving) != "",
	}, nil
}

// sendError returns the error of a failed send with its verdict: whether the request has
// run, has not run or may have run.
func sendError(ctx context.Context, err error) error {
	if httpconn.StageOf(err) == httpconn.Unsent {
		return verdict.NotRunError(verdict.CauseUpstreamDial, err.Error())
	}
	var failure *httpconn.Error
	if errors.As(err, &failure) && failure.TooLarge {
		return verdict.New(verdict.Ran, verdict.CauseAnswerTooLarge, "the upstream's answer is larger than the bound; raise max-answer-bytes")
	}
	if ctx.Err() != nil {
		return verdict.MayHaveRunError(verdict.CauseUpstreamSilent, err.Error())
	}
	return verdict.MayHaveRunError(verdict.CauseUpstreamBroken, fmt.Sprintf("the connection broke before the whole answer: %v", err))
}
