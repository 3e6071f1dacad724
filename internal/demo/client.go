package demo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/entryhost"
	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/transport/caller"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// answer is the response that a caller received.
type answer struct {
	status  int
	verdict verdict.Verdict
	cause   verdict.Cause
	body    string
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s %s %s", a.status, a.verdict, a.cause, a.body)
}

// request is a request that a caller sends; runTime is how long it occupies a worker.
type request struct {
	kind       string
	id         string
	idempotent bool
	runTime    time.Duration
	timeout    time.Duration
}

// send sends a request to an entry host.
func (d *demo) send(e *entryhost.EntryHost, r request) (answer, error) {
	ctx, cancel := requestContext()
	defer cancel()
	header := http.Header{}
	header.Set(caller.HeaderKind, r.kind)
	header.Set(caller.HeaderTeam, "demo")
	header.Set(caller.HeaderIdempotent, strconv.FormatBool(r.idempotent))
	if r.id != "" {
		header.Set(caller.HeaderRequestID, r.id)
	}
	if r.timeout > 0 {
		header.Set(caller.HeaderTimeout, r.timeout.String())
	}
	got, err := d.http.Do(ctx, e.CallerAddress(), httpconn.Request{
		Method: http.MethodPost, Path: fmt.Sprintf("/work?run-ms=%d", r.runTime.Milliseconds()), Header: header, Body: []byte("payload"),
	})
	if err != nil {
		return answer{}, err
	}
	return answer{
		status: got.Status, body: string(got.Body),
		verdict: verdict.Verdict(got.Header.Get(caller.HeaderVerdict)), cause: verdict.Cause(got.Header.Get(caller.HeaderCause)),
	}, nil
}

// expectVerdict sends a request and returns an error unless it gets the verdict.
func (d *demo) expectVerdict(e *entryhost.EntryHost, r request, want verdict.Verdict) error {
	got, err := d.send(e, r)
	if err != nil {
		return err
	}
	if got.verdict != want {
		return errors.Newf("request: want verdict %s, got %s", want, got)
	}
	return nil
}

// status returns the status of an entry host. Refusing is set if it does not answer.
func (d *demo) status(e *entryhost.EntryHost) operatorapi.Status {
	ctx, cancel := requestContext()
	defer cancel()
	var status operatorapi.Status
	got, err := d.http.Do(ctx, e.OperatorAddress(), httpconn.Request{Method: http.MethodGet, Path: "/status"})
	if err != nil || json.Unmarshal(got.Body, &status) != nil {
		status.Refusing = "no answer"
	}
	return status
}

// host returns an upstream host as an entry host sees it, or a zero Host.
func (d *demo) host(e *entryhost.EntryHost, name string) operatorapi.Host {
	for _, h := range d.status(e).Hosts {
		if h.Name == name {
			return h
		}
	}
	return operatorapi.Host{}
}

// change submits an operator's change and returns whether the fold accepted it.
func (d *demo) change(e *entryhost.EntryHost, path string, body []byte) (operatorapi.Outcome, error) {
	ctx, cancel := requestContext()
	defer cancel()
	var outcome operatorapi.Outcome
	got, err := d.http.Do(ctx, e.OperatorAddress(), httpconn.Request{Method: http.MethodPost, Path: path, Body: body})
	if err != nil {
		return outcome, err
	}
	if got.Status != http.StatusOK && got.Status != http.StatusConflict {
		return outcome, errors.Newf("entry host answered with status %d: %s", got.Status, got.Body)
	}
	return outcome, errors.Wrap(json.Unmarshal(got.Body, &outcome), "decode the outcome of the change")
}

// mustAccept submits a change and returns an error unless it is accepted.
func (d *demo) mustAccept(e *entryhost.EntryHost, path string, body []byte) error {
	outcome, err := d.change(e, path, body)
	if err == nil && !outcome.Accepted {
		err = errors.Newf("change was refused: %s", outcome.Message)
	}
	return err
}

// mustRefuse submits a change, prints the refusal and returns an error if it is accepted.
func (d *demo) mustRefuse(e *entryhost.EntryHost, path string, body []byte) error {
	outcome, err := d.change(e, path, body)
	if err == nil && outcome.Accepted {
		err = errors.New("change was accepted, want a refusal")
	}
	if err == nil {
		_, _ = fmt.Fprintf(d.out, "         %s\n", outcome.Message)
	}
	return err
}

// runs returns how often the workers ran a request in total.
func (d *demo) runs(id string) int {
	n := 0
	for _, w := range d.workers {
		n += w.Runs()[id]
	}
	return n
}

// newID returns a request ID that begins with the current time.
func newID(name string) string {
	return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
}
