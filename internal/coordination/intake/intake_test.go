package intake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// fakeOwners has jobs by partition. The owner of partition 0 does not answer before silentUntil.
type fakeOwners struct {
	Recorder
	OwnerClient

	jobs      map[int]map[job.ID]Status
	cancelled []string

	mu      sync.Mutex
	revoked []string

	silentUntil time.Time
}

func (f *fakeOwners) Event(string, ...any) {}

func (f *fakeOwners) Cancel(_ context.Context, partition int, id job.ID) error {
	f.cancelled = append(f.cancelled, fmt.Sprint(partition, " ", id))
	return nil
}

func (f *fakeOwners) Revoke(_ context.Context, partition int, id job.ID, r Revocation) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revoked = append(f.revoked, fmt.Sprint(partition, " ", id, " ", r.Scope))
	return nil
}

func (f *fakeOwners) Partitions(string) []int { return []int{1, 0} }

func (f *fakeOwners) State(_ context.Context, partition int, id job.ID) (Status, bool, bool) {
	status, known := f.jobs[partition][id]
	answers := partition != 0 || !time.Now().Before(f.silentUntil)
	return status, known && answers, answers
}

const (
	ofOne  job.ID = "00000000000000a1"
	ofNone job.ID = "00000000000000a0"
	ofBoth job.ID = "00000000000000a2"
)

func newFake() *fakeOwners {
	one, two := Status{job.Running, "one"}, Status{job.Done, "two"}
	return &fakeOwners{jobs: map[int]map[job.ID]Status{
		1: {ofNone: {State: job.Running}, ofBoth: one}, 0: {ofOne: one, ofBoth: two},
	}}
}

func callerOf(organisation string, requiresKeys bool) Caller {
	return Caller{&queue.Configuration{RequiresKeys: requiresKeys}, &queue.Queue{Name: "q", Pool: "maps"}, organisation}
}

// TestOtherOrganisationsSeeNoJob guards against a state or a cancel of a job of another organisation, and
// against a job that its own organisation no longer reaches.
func TestOtherOrganisationsSeeNoJob(t *testing.T) {
	for _, c := range []struct {
		name          string
		caller        Caller
		id            job.ID
		want          job.State
		cancelledFrom []string
	}{
		{"own job", callerOf("one", true), ofOne, job.Running, []string{"0 " + string(ofOne)}},
		{"another's job", callerOf("two", true), ofOne, "", nil},
		{"no key, public queue", callerOf("", true), ofOne, "", nil},
		{"keys no longer required", callerOf("", false), ofOne, job.Running, []string{"0 " + string(ofOne)}},
		{"job of none", callerOf("two", true), ofNone, job.Running, []string{"1 " + string(ofNone)}},
		{"one ID in two partitions", callerOf("two", true), ofBoth, job.Done, nil},
	} {
		f := newFake()
		i := New(f, f, f, time.Now)
		state, known, err := i.State(t.Context(), c.caller, c.id)
		if state != c.want || known != (c.want != "") || err != nil {
			t.Errorf("%s: state %q, known %v, %v; want %q", c.name, state, known, err, c.want)
		}
		if cancelled, err := i.Cancel(t.Context(), c.caller, c.id); cancelled != (c.want != "") || err != nil {
			t.Errorf("%s: cancelled %v, %v", c.name, cancelled, err)
		}
		if diff := cmp.Diff(c.cancelledFrom, f.cancelled); diff != "" {
			t.Errorf("%s: recorded cancels (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestCancelWithoutOwner guards against a cancel that is recorded for a job of another organisation while
// nobody can tell whose it is.
func TestCancelWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.silentUntil = time.Now().Add(1300 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := New(f, f, f, time.Now).Cancel(ctx, callerOf("two", true), ofOne)
		if err == nil || verdict.FromError(err).Verdict != verdict.NotRun || len(f.cancelled) > 0 {
			t.Errorf("error %v, recorded %v; want not-run and nothing recorded", err, f.cancelled)
		}
		if known, err := New(f, f, f, time.Now).Cancel(t.Context(), callerOf("one", true), ofOne); !known || err != nil {
			t.Errorf("known %v, %v; want the cancel once the owner answers", known, err)
		}
	})
}

// TestCancelOfUnknownJobIsRecorded guards against a job that runs although its cancel was answered,
// since its submission was still on the way.
func TestCancelOfUnknownJobIsRecorded(t *testing.T) {
	const unknown job.ID = "00000000000000ff"
	for _, c := range []struct {
		name        string
		caller      Caller
		id          job.ID
		silent      time.Duration
		known       bool
		wantRevoked []string
	}{
		{"unknown", callerOf("", false), unknown, 0, false, []string{"0 " + string(unknown) + " {false }", "1 " + string(unknown) + " {false }"}},
		{"unknown, with a key", callerOf("one", true), unknown, 0, false, []string{"0 " + string(unknown) + " {true one}", "1 " + string(unknown) + " {true one}"}},
		{"the owner is silent", callerOf("", false), ofOne, time.Hour, true, []string{"0 " + string(ofOne) + " {false }", "1 " + string(ofOne) + " {false }"}},
		{"another's job", callerOf("two", true), ofOne, 0, false, nil},
	} {
		f := newFake()
		f.silentUntil = time.Now().Add(c.silent)
		known, err := New(f, f, f, time.Now).Cancel(t.Context(), c.caller, c.id)
		if known != c.known || err != nil || len(f.cancelled) > 0 {
			t.Errorf("%s: known %v, %v, cancelled %v; want %v", c.name, known, err, f.cancelled, c.known)
		}
		slices.Sort(f.revoked)
		if diff := cmp.Diff(c.wantRevoked, f.revoked); diff != "" {
			t.Errorf("%s: recorded for later submissions (-want +got):\n%s", c.name, diff)
		}
	}
}
