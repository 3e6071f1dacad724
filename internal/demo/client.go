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

// answer is what a caller got.
type answer struct {
	status  int
	verdict verdict.Verdict
	cause   verdict.Cause
	body    string
}

func (a answer) String() string {
	return fmt.Sprintf("%d %s %s %s", a.status, a.verdict, a.cause, a.body)
}

// request is what a caller sends.
type request struct {
	kind       string
	id         string
	idempotent bool
	runTime    time.Duration
	timeout    time.Duration
}

func (d *demo) send(e *entryhost.EntryHost, r request) (answer, error) {
	ctx, cancel := background()
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

// expect sends a request and compares how it ended.
func (d *demo) expect(e *entryhost.EntryHost, r request, want verdict.Verdict) error {
	got, err := d.send(e, r)
	if err != nil {
		return err
	}
	if got.verdict != want {
		return errors.Newf("a request should have ended as %s and got %s", want, got)
	}
	return nil
}

func (d *demo) status(e *entryhost.EntryHost) operatorapi.Status {
	ctx, cancel := background()
	defer cancel()
	var status operatorapi.Status
	got, err := d.http.Do(ctx, e.OperatorAddress(), httpconn.Request{Method: http.MethodGet, Path: "/status"})
	if err != nil || json.Unmarshal(got.Body, &status) != nil {
		status.Refusing = "no answer"
	}
	return status
}

func (d *demo) host(e *entryhost.EntryHost, name string) operatorapi.Host {
	for _, h := range d.status(e).Hosts {
		if h.Name == name {
			return h
		}
	}
	return operatorapi.Host{}
}

// change asks an operator's change and tells whether the fold accepted it.
func (d *demo) change(e *entryhost.EntryHost, path string, body []byte) (operatorapi.Outcome, error) {
	ctx, cancel := background()
	defer cancel()
	var outcome operatorapi.Outcome
	got, err := d.http.Do(ctx, e.OperatorAddress(), httpconn.Request{Method: http.MethodPost, Path: path, Body: body})
	if err != nil {
		return outcome, err
	}
	if got.Status != http.StatusOK && got.Status != http.StatusConflict {
		return outcome, errors.Newf("status %d: %s", got.Status, got.Body)
	}
	return outcome, errors.Wrap(json.Unmarshal(got.Body, &outcome), "read the outcome")
}

// accept asks a change that must be accepted.
func (d *demo) accept(e *entryhost.EntryHost, path string, body []byte) error {
	outcome, err := d.change(e, path, body)
	if err == nil && !outcome.Accepted {
		err = errors.Newf("refused: %s", outcome.Message)
	}
	return err
}

// refused asks a change that must be refused.
func (d *demo) refused(e *entryhost.EntryHost, path string, body []byte) error {
	outcome, err := d.change(e, path, body)
	if err == nil && outcome.Accepted {
		err = errors.New("it was accepted")
	}
	if err == nil {
		_, _ = fmt.Fprintf(d.out, "         %s\n", outcome.Message)
	}
	return err
}

// runs counts how often all workers ran a request.
func (d *demo) runs(id string) int {
	n := 0
	for _, w := range d.workers {
		n += w.Runs()[id]
	}
	return n
}

func newID(name string) string {
	return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
}
