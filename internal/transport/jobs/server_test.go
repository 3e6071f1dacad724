package jobs

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// fake is an entry host that knows what it was given.
type fake struct {
	taken     map[job.ID]*job.Job
	cancelled []job.ID
	err       error
	away      bool
}

func (f *fake) Configuration() *queue.Configuration {
	return &queue.Configuration{Version: 1, Queues: []queue.Queue{{Name: "tiles", Pool: "maps", MaxAttempts: 2}}, Pools: []queue.Pool{{Name: "maps"}}}
}
func (f *fake) Intake() *intake.Intake { return intake.New(f, f, f, time.Now) }
func (f *fake) Event(string, ...any)   {}

func (f *fake) Submit(_ context.Context, j *job.Job) error {
	if f.err == nil {
		f.taken[j.ID] = j
	}
	return f.err
}

func (f *fake) Cancel(_ context.Context, _ string, id job.ID) error {
	f.cancelled = append(f.cancelled, id)
	return f.err
}

func (f *fake) State(_ context.Context, _ string, id job.ID) (job.State, bool, bool) {
	_, known := f.taken[id]
	return job.Queued, known, !f.away
}

func (f *fake) Waiting(context.Context, string, string) (int, bool) { return len(f.taken), !f.away }

const (
	path = "/jobs/tiles/00000000000000aa"
	good = `{"spec":"s","steps":[{"tasks":2,"millicores":500,"estimate":"1s"},{"tasks":1,"depends-on":[0]}]}`
)

func ask(f *fake, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	ctx, cancel := context.WithTimeout(r.Context(), 300*time.Millisecond)
	defer cancel()
	w := httptest.NewRecorder()
	Handler(f).ServeHTTP(w, r.WithContext(ctx))
	return w
}

func TestJobs(t *testing.T) {
	f := &fake{taken: map[job.ID]*job.Job{}}
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{http.MethodGet, path, "", http.StatusGone, `{"verdict":"not-run","message":"there is no such job"}`},
		{http.MethodPost, path, good, http.StatusOK, `{"state":"queued"}`},
		{http.MethodGet, path, "", http.StatusOK, `{"state":"queued"}`},
		{http.MethodGet, "/jobs/tiles", "", http.StatusOK, `{"waiting":1}`},
		{http.MethodDelete, path, "", http.StatusOK, `{"state":"cancelled"}`},
		{http.MethodPost, "/jobs/none/00000000000000aa", good, http.StatusNotFound, `{"verdict":"not-run","message":"there is no queue \"none\""}`},
		{http.MethodPost, path, `{"steps":[],"colour":1}`, http.StatusBadRequest, `{"verdict":"not-run","message":"read the job: json: unknown field \"colour\""}`},
		{http.MethodPost, path, `{"steps":[]}`, http.StatusBadRequest, `{"verdict":"not-run","message":"0 steps; use 1 to 256"}`},
	} {
		w := ask(f, c.method, c.path, c.body)
		if w.Code != c.status {
			t.Errorf("%s %s: %d; want %d", c.method, c.path, w.Code, c.status)
		}
		if diff := cmp.Diff(c.want+"\n", w.Body.String()); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", c.method, c.path, diff)
		}
	}
}

func TestDoubtIsNotARefusal(t *testing.T) {
	f := &fake{taken: map[job.ID]*job.Job{}, err: verdict.Doubt(verdict.CauseClaimFailed, "no answer")}
	w := ask(f, http.MethodPost, path, good)
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "may-have-run") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}

func TestOwnerAwayIsNoAnswer(t *testing.T) {
	f := &fake{taken: map[job.ID]*job.Job{}, away: true}
	w := ask(f, http.MethodGet, path, "")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("%d %s; want 503 and when to come back", w.Code, w.Body)
	}
}

// TestCancelWithTheOwnerAway must record the cancel for every pool that may have the job.
func TestCancelWithTheOwnerAway(t *testing.T) {
	f := &fake{taken: map[job.ID]*job.Job{}, away: true}
	if w := ask(f, http.MethodDelete, path, ""); w.Code != http.StatusOK || len(f.cancelled) != 1 {
		t.Errorf("%d, %d cancels recorded", w.Code, len(f.cancelled))
	}
}
