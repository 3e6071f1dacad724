// Package jobs serves hornbeammast's own HTTP interface for jobs.
package jobs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/access"
	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/jobapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// maxBody bounds the body of a submission, in bytes.
	maxBody = 1 << 20
	// requestTimeout bounds the time to answer a request.
	requestTimeout = 5 * time.Second
	// headerAuthorization carries the key of an organisation.
	headerAuthorization = "Authorization"
)

// Host is the entry host behind the interface.
type Host interface {
	intake.Versions
	Intake() *intake.Intake
}

// Handler returns the handler of requests to /jobs/QUEUE and /jobs/QUEUE/ID.
func Handler(host Host) http.Handler {
	s := server{host}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jobs/{queue}/{id}", s.withQueue(s.submit))
	mux.HandleFunc("GET /jobs/{queue}/{id}", s.withQueue(s.state))
	mux.HandleFunc("DELETE /jobs/{queue}/{id}", s.withQueue(s.cancel))
	mux.HandleFunc("GET /jobs/{queue}", s.withQueue(s.waiting))
	return mux
}

type server struct{ host Host }

// queueRequest holds the caller with the queue and, except in requests for the waiting count, the job
// that a request names.
type queueRequest struct {
	caller intake.Caller
	id     job.ID
}

// withQueue looks up the queue and the organisation of a request and calls answer with it and with a context
// that ends after requestTimeout.
func (s server) withQueue(answer func(context.Context, http.ResponseWriter, *http.Request, queueRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("queue")
		caller, err := s.host.Intake().Identify(r.Context(), s.host, r.Header[headerAuthorization], func(c *queue.Configuration) (*queue.Queue, error) {
			n := slices.IndexFunc(c.Queues, func(q queue.Queue) bool { return q.Name == name })
			if n < 0 {
				return nil, verdict.NotRunError(verdict.CauseUnknownQueue, "there is no queue "+strconv.Quote(name))
			}
			return &c.Queues[n], nil
		})
		if err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		answer(ctx, w, r, queueRequest{caller, job.ID(r.PathValue("id"))})
	}
}

func (s server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, target queueRequest) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		writeProblem(w, http.StatusRequestEntityTooLarge, verdict.NotRun, "the body can't be read or is too large")
		return
	}
	// The time in which the body arrives does not count.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	submission, err := jobapi.Parse(body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	if err := s.host.Intake().Submit(ctx, target.caller, submission.Job(string(target.id))); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, jobapi.StateReply{State: job.Queued})
}

func (s server) state(ctx context.Context, w http.ResponseWriter, _ *http.Request, target queueRequest) {
	state, known, err := s.host.Intake().State(ctx, target.caller, target.id)
	switch {
	case err != nil:
		writeError(w, err)
	case !known:
		writeProblem(w, http.StatusGone, verdict.NotRun, "there is no such job")
	default:
		writeJSON(w, http.StatusOK, jobapi.StateReply{State: state})
	}
}

func (s server) cancel(ctx context.Context, w http.ResponseWriter, _ *http.Request, target queueRequest) {
	known, err := s.host.Intake().Cancel(ctx, target.caller, target.id)
	switch {
	case err != nil:
		writeError(w, err)
	case !known:
		writeProblem(w, http.StatusGone, verdict.NotRun, "there is no such job")
	default:
		writeJSON(w, http.StatusOK, jobapi.StateReply{State: job.Cancelled})
	}
}

func (s server) waiting(ctx context.Context, w http.ResponseWriter, _ *http.Request, target queueRequest) {
	waiting, err := s.host.Intake().Waiting(ctx, target.caller.Queue)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, jobapi.WaitingReply{Waiting: waiting})
}

func writeError(w http.ResponseWriter, err error) {
	e := verdict.FromError(err)
	if e.Cause == verdict.CauseUnauthorised {
		w.Header().Set("WWW-Authenticate", access.Scheme)
	}
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds()))
	}
	writeProblem(w, e.Cause.Status(), e.Verdict, e.Message)
}

func writeProblem(w http.ResponseWriter, status int, v verdict.Verdict, message string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(intake.RetryAfter/time.Second)))
	}
	writeJSON(w, status, jobapi.Problem{Verdict: string(v), Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		data = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the caller has disconnected; nothing is left to do then.
	_, _ = w.Write(append(data, '\n'))
}
