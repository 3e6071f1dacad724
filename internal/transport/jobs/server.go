// Package jobs serves the product's own interface for jobs over HTTP.
package jobs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/jobapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// maxBody is the largest submission, in bytes.
	maxBody = 1 << 20
	// answerTime bounds an answer.
	answerTime = 5 * time.Second
)

// Host is the entry host behind the interface.
type Host interface {
	Configuration() *queue.Configuration
	Intake() *intake.Intake
}

// Handler answers under /jobs/QUEUE and /jobs/QUEUE/ID.
func Handler(host Host) http.Handler {
	s := server{host}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jobs/{queue}/{id}", s.with(s.submit))
	mux.HandleFunc("GET /jobs/{queue}/{id}", s.with(s.state))
	mux.HandleFunc("DELETE /jobs/{queue}/{id}", s.with(s.cancel))
	mux.HandleFunc("GET /jobs/{queue}", s.with(s.waiting))
	return mux
}

type server struct{ host Host }

// call is one request about a queue.
type call struct {
	config *queue.Configuration
	queue  *queue.Queue
	id     job.ID
}

// with finds the queue of a request and bounds its time.
func (s server) with(answer func(context.Context, http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := s.host.Configuration()
		if c == nil {
			refuse(w, http.StatusServiceUnavailable, verdict.NotRun, "no configuration is in force yet; try again")
			return
		}
		name := r.PathValue("queue")
		n := slices.IndexFunc(c.Queues, func(q queue.Queue) bool { return q.Name == name })
		if n < 0 {
			refuse(w, http.StatusNotFound, verdict.NotRun, "there is no queue "+strconv.Quote(name))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTime)
		defer cancel()
		answer(ctx, w, r, call{c, &c.Queues[n], job.ID(r.PathValue("id"))})
	}
}

func (s server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, c call) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		refuse(w, http.StatusRequestEntityTooLarge, verdict.NotRun, "the body can't be read or is too large")
		return
	}
	submission, err := jobapi.Parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, verdict.NotRun, err.Error())
		return
	}
	if err := s.host.Intake().Submit(ctx, c.config.Version, c.queue, submission.Job(string(c.id))); err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, jobapi.StateReply{State: job.Queued})
}

func (s server) state(ctx context.Context, w http.ResponseWriter, _ *http.Request, c call) {
	state, known, err := s.host.Intake().State(ctx, c.config, c.queue, c.id)
	switch {
	case err != nil:
		fail(w, err)
	case !known:
		refuse(w, http.StatusGone, verdict.NotRun, "there is no such job")
	default:
		reply(w, http.StatusOK, jobapi.StateReply{State: state})
	}
}

func (s server) cancel(ctx context.Context, w http.ResponseWriter, _ *http.Request, c call) {
	known, err := s.host.Intake().Cancel(ctx, c.config, c.queue, c.id)
	switch {
	case err != nil:
		fail(w, err)
	case !known:
		refuse(w, http.StatusGone, verdict.NotRun, "there is no such job")
	default:
		reply(w, http.StatusOK, jobapi.StateReply{State: job.Cancelled})
	}
}

func (s server) waiting(ctx context.Context, w http.ResponseWriter, _ *http.Request, c call) {
	waiting, err := s.host.Intake().Waiting(ctx, c.queue)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, jobapi.WaitingReply{Waiting: waiting})
}

func fail(w http.ResponseWriter, err error) {
	e := verdict.Of(err)
	refuse(w, e.Cause.Status(), e.Verdict, e.Message)
}

func refuse(w http.ResponseWriter, status int, v verdict.Verdict, message string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(intake.RetryAfter/time.Second)))
	}
	reply(w, status, jobapi.Problem{Verdict: string(v), Message: message})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		data = nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone takes no answer.
	_, _ = w.Write(append(data, '\n'))
}
