package cmd

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/hornbeammast/hornbeammast/internal/protocol/jobapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// jobCmd is `hornbeammast job submit|status|cancel`.
type jobCmd struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job to a queue."`
	Status jobStatusCmd `cmd:"" help:"Show the state of a job, or the number of waiting jobs of a queue."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel a job."`
}

// jobSubmitCmd is `hornbeammast job submit QUEUE FILE [--id ID]`.
type jobSubmitCmd struct {
	keyed

	Queue string `arg:"" help:"Queue to submit the job to."`
	File  string `arg:"" help:"File with the job, JSON with comments; - reads standard input."`
	ID    string `help:"Job ID, 16 hexadecimal digits; submitting again with the same ID is idempotent. Generated if left out."`
}

// Run submits the job and prints its ID.
func (s *jobSubmitCmd) Run(c *console) error {
	data, err := readInput(s.File)
	if err != nil {
		return err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return &exitError{exitUsage, errors.Wrap(err, "parse the job as JSON with comments")}
	}
	if s.ID == "" {
		random := make([]byte, 8)
		if _, err := rand.Read(random); err != nil {
			return errors.Wrap(err, "generate a job ID")
		}
		s.ID = hex.EncodeToString(random)
	}
	answer, err := s.callWithKey(http.MethodPost, jobPath(s.Queue, s.ID), plain)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return jobProblemError(answer)
	}
	if s.Output == "json" {
		return printJSON(c, map[string]string{"id": s.ID})
	}
	_, _ = fmt.Fprintln(c.out, s.ID)
	return nil
}

// jobStatusCmd is `hornbeammast job status QUEUE [ID]`.
type jobStatusCmd struct {
	keyed

	Queue string `arg:"" help:"Queue of the job."`
	ID    string `arg:"" optional:"" help:"ID of the job; if left out, the waiting jobs are counted."`
}

// Run prints the state of the job, or the number of waiting jobs in the queue.
func (s *jobStatusCmd) Run(c *console) error {
	path := "/jobs/" + url.PathEscape(s.Queue)
	if s.ID != "" {
		path = jobPath(s.Queue, s.ID)
	}
	answer, err := s.callWithKey(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return jobProblemError(answer)
	}
	var reply struct {
		jobapi.StateReply
		jobapi.WaitingReply
	}
	if err := json.Unmarshal(answer.Body, &reply); err != nil {
		return errors.Wrap(err, "decode the entry host's answer")
	}
	switch {
	case s.Output == "json" && s.ID != "":
		return printJSON(c, reply.StateReply)
	case s.Output == "json":
		return printJSON(c, reply.WaitingReply)
	case s.ID != "":
		_, _ = fmt.Fprintln(c.out, reply.State)
	default:
		_, _ = fmt.Fprintln(c.out, reply.Waiting, "waiting")
	}
	return nil
}

// jobCancelCmd is `hornbeammast job cancel QUEUE ID`.
type jobCancelCmd struct {
	keyed

	Queue string `arg:"" help:"Queue of the job."`
	ID    string `arg:"" help:"ID of the job."`
}

// Run cancels the job.
func (j *jobCancelCmd) Run(c *console) error {
	answer, err := j.callWithKey(http.MethodDelete, jobPath(j.Queue, j.ID), nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return jobProblemError(answer)
	}
	if j.Output == "json" {
		return printJSON(c, map[string]string{"id": j.ID, "state": "cancelled"})
	}
	_, _ = fmt.Fprintln(c.out, "cancelled", j.ID)
	return nil
}

func jobPath(queue, id string) string {
	return "/jobs/" + url.PathEscape(queue) + "/" + url.PathEscape(id)
}

// jobProblemError returns the error of an answer that refuses a request. A verdict that the
// request may have taken effect has its own exit status.
func jobProblemError(answer httpconn.Answer) error {
	var problem jobapi.Problem
	if err := json.Unmarshal(answer.Body, &problem); err != nil {
		return errors.Newf("the entry host answered with status %d: %s", answer.Status, answer.Body)
	}
	err := errors.Newf("%s: %s", problem.Verdict, problem.Message)
	if problem.Verdict == string(verdict.MayHaveRun) {
		return &exitError{exitUnknown, errors.Wrap(err, "submit it again with the same --id")}
	}
	return &exitError{exitRefused, err}
}
