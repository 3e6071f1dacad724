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

// remoteTimeout bounds one call of an entry host.
const remoteTimeout = 15 * time.Second

// remote is the flags of all commands that ask an entry host.
type remote struct {
	Operator netip.AddrPort `help:"Operators' address of any entry host." default:"127.0.0.1:7002" env:"HORNBEAMMAST_OPERATOR"`
	Output   string         `help:"text or json." enum:"text,json" default:"text" short:"o"`
}

// call sends one request and gives the status and body.
func (r remote) call(method, path string, query url.Values, body []byte) (httpconn.Answer, error) {
	client, err := httpconn.New()
	if err != nil {
		return httpconn.Answer{}, err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	answer, err := client.Do(ctx, r.Operator, httpconn.Request{Method: method, Path: path, Body: body})
	if err == nil {
		return answer, nil
	}
	if method != http.MethodGet && httpconn.StageOf(err) == httpconn.Sent {
		return answer, &exitError{exitUnknown, errors.Wrap(err, "the change may have taken effect; look with: hornbeammast status")}
	}
	return answer, errors.Wrapf(err, "ask the entry host at %s; is it running, and is --operator right?", r.Operator)
}

// get reads a JSON answer.
func (r remote) get(path string, query url.Values, into any) error {
	answer, err := r.call(http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return problemOf(answer)
	}
	return errors.Wrap(json.Unmarshal(answer.Body, into), "read the entry host's answer")
}

// show prints a JSON answer as it is, indented.
func (r remote) show(c *console, path string, query url.Values) error {
	var message any
	if err := r.get(path, query, &message); err != nil {
		return err
	}
	return printJSON(c, message)
}

// change submits a change and prints the fold's verdict.
func (r remote) change(c *console, path string, query url.Values, body []byte) error {
	answer, err := r.call(http.MethodPost, path, query, body)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return problemOf(answer)
	}
	var outcome operatorapi.Outcome
	if err := json.Unmarshal(answer.Body, &outcome); err != nil {
		return errors.Wrap(err, "read the entry host's answer")
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

func problemOf(answer httpconn.Answer) error {
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
	return errors.Wrap(encoder.Encode(message), "print")
}
