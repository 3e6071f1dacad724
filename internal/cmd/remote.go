package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// remoteTimeout bounds one request to an entry host.
const remoteTimeout = 15 * time.Second

// remote holds the flags shared by all commands that send requests to an entry host.
type remote struct {
	Operator netip.AddrPort `help:"Operator address of any entry host." default:"127.0.0.1:7002" env:"HORNBEAMMAST_OPERATOR"`
	Output   string         `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

// call sends one request and returns the answer, whatever its status.
func (r remote) call(method, path string, query url.Values, body []byte) (httpconn.Answer, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return r.send(httpconn.Request{Method: method, Path: path, Body: body})
}

func (r remote) send(request httpconn.Request) (httpconn.Answer, error) {
	client, err := httpconn.New()
	if err != nil {
		return httpconn.Answer{}, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	answer, err := client.Do(ctx, r.Operator, request)
	if err == nil {
		return answer, nil
	}
	if request.Method != http.MethodGet && httpconn.StageOf(err) == httpconn.MaybeSent {
		return answer, &exitError{exitUnknown, errors.Wrap(err, "the change may have taken effect; check with: hornbeammast status")}
	}
	return answer, errors.Wrapf(err, "call the entry host at %s (check that it is running and that --operator is right)", r.Operator)
}

// get sends a GET request and decodes the JSON answer.
func (r remote) get(path string, query url.Values, into any) error {
	answer, err := r.call(http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return problemError(answer)
	}
	return errors.Wrap(json.Unmarshal(answer.Body, into), "decode the entry host's answer")
}

// show prints the JSON answer to a GET request unchanged but for its indentation.
func (r remote) show(c *console, path string, query url.Values) error {
	var message any
	if err := r.get(path, query, &message); err != nil {
		return err
	}
	return printJSON(c, message)
}

// change submits a change and prints whether the fold accepted it.
func (r remote) change(c *console, path string, query url.Values, body []byte) error {
	answer, err := r.call(http.MethodPost, path, query, body)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return problemError(answer)
	}
	var outcome operatorapi.Outcome
	if err := json.Unmarshal(answer.Body, &outcome); err != nil {
		return errors.Wrap(err, "decode the entry host's answer")
	}
	if r.Output == "json" {
		if err := printJSON(c, outcome); err != nil {
			return err
		}
	} else if outcome.Accepted {
		_, _ = fmt.Fprintf(c.out, "%s at version %d (offset %d)\n", acceptedWord(outcome), outcome.Version, outcome.Offset)
	}
	if !outcome.Accepted {
		return &exitError{exitRefused, errors.Newf("refused: %s", outcome.Message)}
	}
	return nil
}

func acceptedWord(outcome operatorapi.Outcome) string {
	if outcome.DryRun {
		return "would be accepted"
	}
	return "accepted"
}

// problemError returns the error of an answer that reports a problem. A verdict that the
// change may have taken effect has its own exit status.
func problemError(answer httpconn.Answer) error {
	var problem operatorapi.Problem
	if json.Unmarshal(answer.Body, &problem) != nil || problem.Error == "" {
		return errors.Newf("the entry host answered with status %d", answer.Status)
	}
	if problem.Verdict == string(verdict.MayHaveRun) {
		return &exitError{exitUnknown, errors.New(problem.Error)}
	}
	return errors.New(problem.Error)
}

func printJSON(c *console, message any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(message), "write JSON output")
}
