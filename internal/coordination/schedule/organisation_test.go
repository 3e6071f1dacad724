package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// limit configures an organisation with a quota of so many thousandths of a core.
func (h *harness) limit(cpu int64, pools int) {
	h.pool.SetOrganisations([]queue.Organisation{{Name: "blue", Quota: worker.Resources{CPU: cpu}}}, pools)
}

// newLimited returns a pool that may use all of a quota of 4 cores.
func newLimited(t *testing.T, hosts ...worker.ID) *harness {
	t.Helper()
	h := newHarness(t, hosts...)
	h.limit(4000, 1)
	h.allot(1, 1)
	return h
}

func (h *harness) allot(sequence int64, part float64) bool {
	return h.pool.Allot(1, h.pool.token, sequence, map[string]float64{"blue": part}, h.now)
}

func (h *harness) addOf(organisation string, id job.ID, steps ...job.Step) {
	h.pool.AddJob(jobs.New(&job.Job{
		ID: id, Queue: "tiles", Pool: "maps", Steps: steps, AcceptedAt: h.now, MaxAttempts: 2, Stretch: 1.6, Organisation: organisation,
	}))
}

func (h *harness) use() quota.Use {
	use := h.pool.Load(h.now).Organisations["blue"]
	return quota.Use{Part: use.Part, Used: use.Used, Wanted: use.Wanted}
}

// TestQuotaBoundsEachStart guards against a kind of start that is not checked, and against tasks that
// a quota keeps waiting and that hold up those of others.
func TestQuotaBoundsEachStart(t *testing.T) {
	gang, bestEffort, copied := testStep(3, 1500), testStep(3, 1500), testStep(1, 2500)
	gang.Gang, bestEffort.BestEffort, copied.Speculative = true, true, true
	for name, test := range map[string]struct {
		step job.Step
		want int
	}{
		"tasks": {testStep(3, 1500), 2}, "gang": {gang, 0}, "best-effort": {bestEffort, 2}, "speculative": {copied, 1},
		"larger than the quota": {testStep(2, 6000), 1},
	} {
		h := newLimited(t, "h1", "h2")
		h.addOf("blue", idA, test.step)
		h.addOf("", idB, testStep(3, 4000))
		starts, _ := h.plan()
		h.accept(starts...)
		var running [2][]worker.ActiveRun
		for _, s := range starts {
			n := slices.Index([]worker.ID{"h1", "h2"}, s.Target.ID)
			running[n] = append(running[n], worker.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Percent: fullSpeed, Usage: 1})
		}
		// Late enough for a copy.
		h.advance(2 * time.Second)
		h.renewRunning("h1", 1, running[0])
		h.renewRunning("h2", 1, running[1])
		more, _ := h.plan()
		got := map[string]int{}
		for _, s := range append(starts, more...) {
			got[s.Order.Task.Job]++
		}
		want := map[string]int{idB: 3}
		if test.want > 0 {
			want[idA] = test.want
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: starts by job (-want +got):\n%s", name, diff)
		}
	}
}

// TestSuspectsAreBoundByTheQuota guards against trials beyond the quota.
func TestSuspectsAreBoundByTheQuota(t *testing.T) {
	h := newLimited(t, "h1", "h2", "h3")
	h.addOf("blue", idA, testStep(2, 3000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.crash(starts[0].Target.ID)
	h.advance(time.Second)
	h.allot(2, 0.5)
	none, _ := h.plan()
	h.wantStarts(none)
}

// TestStartsWithoutAnAnswerCount guards against a start beyond the quota while one that got no answer
// may still be carried out: its host restarted and does not list it.
func TestStartsWithoutAnAnswerCount(t *testing.T) {
	h := newLimited(t, "h1")
	h.addOf("blue", idA, testStep(1, 3000))
	starts, _ := h.plan()
	h.noAnswer(starts...)
	h.advance(2 * unknownStartTimeout)
	_, orders := h.plan()
	h.restart("h1")
	h.pool.Stopped("h1", orders.Stops[0].Order, h.now, h.now, nil)
	h.advance(10 * time.Millisecond)
	h.restart("h1")
	h.addOf("blue", idB, testStep(1, 3000))
	h.advance(time.Second)
	none, _ := h.plan()
	h.wantStarts(none)
	h.advance(lateOrderTime)
	h.list("h1")
	if used := h.use().Used; used > 0.75 {
		t.Errorf("%.2f of the quota is used after the start has lapsed", used)
	}
}

// TestAllotmentsAreFenced guards against the parts of an earlier decider, of one that takes the pool
// for an earlier owner's, and those that a later allotment has overtaken.
func TestAllotmentsAreFenced(t *testing.T) {
	h := newLimited(t, "h1")
	parts := func(part float64) map[string]float64 { return map[string]float64{"blue": part} }
	got := map[string]bool{
		"overtaken":     h.pool.Allot(1, 7, 1, parts(0.9), h.now),
		"earlier owner": h.pool.Allot(1, 6, 2, parts(0.9), h.now),
		"next":          h.pool.Allot(1, 7, 2, parts(0.5), h.now),
	}
	h.pool.FleetLoad(3, h.now)
	got["earlier decider"] = h.pool.Allot(2, 7, 3, parts(0.9), h.now)
	got["later decider"] = h.pool.Allot(3, 7, 1, parts(0.6), h.now)
	want := map[string]bool{"overtaken": false, "earlier owner": false, "next": true, "earlier decider": false, "later decider": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("allotments that were applied (-want +got):\n%s", diff)
	}
	if part := h.use().Part; part != 0.6 {
		t.Errorf("the part is %v, want 0.6", part)
	}
}

// TestNextOwnerBeginsWithTheFloor guards against a pool owner that takes over more than what runs.
func TestNextOwnerBeginsWithTheFloor(t *testing.T) {
	h := newLimited(t, "h1")
	h.addOf("blue", idA, testStep(3, 1000))
	_, records := h.progress(idA)
	h.replaceOwner(idA, records)
	h.list("h1")
	h.limit(4000, 2)
	h.addOf("blue", idB, testStep(1, 100))
	if diff := cmp.Diff(quota.Use{Part: 0.1, Used: 0.75, Wanted: 0.775}, h.use()); diff != "" {
		t.Errorf("use by the load of the next owner (-want +got):\n%s", diff)
	}
	none, _ := h.plan()
	h.wantStarts(none)
}

// TestRestartingTaskKeepsItsPart guards against a long-running task that can't run again, because
// what it used was lent to another pool or taken by another task.
func TestRestartingTaskKeepsItsPart(t *testing.T) {
	h := newLimited(t, "h1", "h2")
	step := testStep(1, 3000)
	step.LongRunning = true
	h.addOf("blue", idA, step)
	starts, _ := h.plan()
	h.accept(starts...)
	h.addOf("blue", idB, testStep(4, 1000))
	others, _ := h.plan()
	h.wantStarts(others, idB+".0.0.0")
	h.accept(others...)
	h.renew(starts[0].Target.ID, 1, endedRun(starts[0], worker.OutcomeFailed))
	if use := h.use(); use.Used != 1 {
		t.Errorf("%.2f of the quota is used while a long-running task restarts, want 1", use.Used)
	}
	h.allot(2, 0.95)
	h.advance(retryPause)
	again, _ := h.plan()
	h.wantStarts(again, idA+".0.0.0")
}

// TestLoweredQuotaStopsNothing guards against starts under a lowered quota while other pools may use
// more than that, and against runs that are stopped for it.
func TestLoweredQuotaStopsNothing(t *testing.T) {
	h := newHarness(t, "h1")
	h.limit(40000, 2)
	h.addOf("blue", idA, testStep(1, 1000))
	starts, _ := h.plan()
	h.accept(starts...)
	h.limit(30000, 2)
	h.addOf("blue", idB, testStep(1, 1000))
	none, orders := h.plan()
	h.wantStarts(none)
	if len(orders.Stops) > 0 {
		t.Errorf("%d runs are stopped", len(orders.Stops))
	}
	h.allot(1, 0.1)
	next, _ := h.plan()
	h.wantStarts(next, idB+".0.0.0")
}

// TestLoadListsWhatTheDeciderNeeds guards against loads that repeat what the decider knows, and
// against ones that hide what it needs.
func TestLoadListsWhatTheDeciderNeeds(t *testing.T) {
	h := newLimited(t, "h1")
	listed := func() bool {
		_, ok := h.pool.FleetLoad(1, h.now).Organisations["blue"]
		return ok
	}
	got := map[string]bool{"idle": listed()}
	h.addOf("blue", idA, testStep(1, 1000))
	got["new"], got["again"] = listed(), listed()
	h.advance(quota.ListInterval)
	got["later"] = listed()
	h.allot(2, 0.2)
	got["blocked"] = listed()
	if diff := cmp.Diff(map[string]bool{"idle": false, "new": true, "again": false, "later": true, "blocked": true}, got); diff != "" {
		t.Errorf("listed (-want +got):\n%s", diff)
	}
}

// quotaEvents keeps the lines about quotas and the starts that waited for one.
type quotaEvents struct{ reached, waited int }

func (e *quotaEvents) Event(name string, pairs ...any) {
	switch {
	case name == "quota-reached":
		e.reached++
	case name == "run-start" && slices.Contains(pairs, any("waited-for-quota")):
		e.waited++
	}
}

// TestQuotaReportsAreBounded guards against a line for each plan, and against starts that don't say
// what they waited for.
func TestQuotaReportsAreBounded(t *testing.T) {
	h, events := newLimited(t, "h1"), &quotaEvents{}
	h.pool.events = events
	h.addOf("blue", idA, testStep(9, 1000))
	for range 20 {
		starts, _ := h.plan()
		h.accept(starts...)
		h.advance(100 * time.Millisecond)
	}
	if dump := h.pool.Dump(h.now).Organisations; len(dump) != 1 || dump[0].Waiting != 5 || dump[0].Running.CPU != 4000 {
		t.Errorf("dump: %+v", dump)
	}
	h.limit(9000, 1)
	h.plan()
	if diff := cmp.Diff(quotaEvents{reached: 2, waited: 5}, *events, cmp.AllowUnexported(quotaEvents{})); diff != "" {
		t.Errorf("lines within 2 s (-want +got):\n%s", diff)
	}
}
