package jobhost

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// own makes the entry host of the runner the owner of its pool.
func (r *runnerTest) own() peerHandler {
	h := r.runner.host
	p := &partition{host: h, pools: map[string]*poolRunner{"maps": r.runner}}
	p.loaded.Store(true)
	h.settings.Partitions = 1
	h.partitions = map[keyedlog.Partition]*partition{{Topic: TopicJobs}: p}
	return peerHandler{host: h}
}

// fallSilent makes the host silent and returns the report, by its load then, that it has ended.
func (r *runnerTest) fallSilent(h peerHandler) *wire.GoneRequest {
	r.Helper()
	r.now = r.now.Add(time.Second)
	r.runner.pool.RenewalFailed(testHost, r.now, r.now, errors.New("no answer"))
	reply, _ := h.Load(r.Context(), &wire.LoadRequest{})
	load := loadFromProto(reply.GetPools()[0])
	return &wire.GoneRequest{Pool: "maps", Host: string(testHost), KnownMs: load.Hosts[testHost].LastSeen.UnixMilli()}
}

// TestLateReportOfAnEndedWorker guards against a second start of runs that go on: the report waited
// for a frozen owner, and the worker, which was back under its ID, happened to be silent.
func TestLateReportOfAnEndedWorker(t *testing.T) {
	r := newRunnerTest(t)
	h := r.own()
	late := r.fallSilent(h)
	r.list()
	r.start(job.Step{Tasks: 1, Needs: worker.Resources{CPU: 1000, MemoryMB: 100}})
	newest := r.fallSilent(h)
	runsAfter := func(request *wire.GoneRequest) int {
		if reply, err := h.Gone(t.Context(), request); err != nil || !reply.GetOwner() {
			t.Errorf("the owner of the pool said it was owner: %v; error %v", reply.GetOwner(), err)
		}
		return r.runner.pool.Load(r.now).Hosts[testHost].Runs
	}
	got := map[string]int{}
	got["without a time"] = runsAfter(&wire.GoneRequest{Pool: "maps", Host: string(testHost)})
	got["late"] = runsAfter(late)
	got["newest"] = runsAfter(newest)
	if diff := cmp.Diff(map[string]int{"without a time": 1, "late": 1, "newest": 0}, got); diff != "" {
		t.Errorf("runs after each report that the worker has ended (-want +got):\n%s", diff)
	}
}

// TestFencedOwnerReportsItsLoad guards against a machine that is ordered away with what its pool's
// next owner has started there: the former one says that the machine is vacant.
func TestFencedOwnerReportsItsLoad(t *testing.T) {
	r := newRunnerTest(t)
	h := r.own()
	answers := func() map[string]bool {
		load, _ := h.Load(t.Context(), &wire.LoadRequest{})
		restricted, _ := h.Restrict(t.Context(), &wire.RestrictRequest{Pool: "maps", Use: wire.HostUse_HOST_USE_NONE, Hosts: []string{string(testHost)}})
		gone, _ := h.Gone(t.Context(), &wire.GoneRequest{Pool: "maps", Host: string(testHost)})
		return map[string]bool{"load": len(load.GetPools()) > 0, "restrict": restricted.GetDone(), "gone": gone.GetOwner()}
	}
	if diff := cmp.Diff(map[string]bool{"load": true, "restrict": true, "gone": true}, answers()); diff != "" {
		t.Errorf("what the owner of the pool answers (-want +got):\n%s", diff)
	}
	r.runner.pool.Fence()
	if diff := cmp.Diff(map[string]bool{"load": false, "restrict": false, "gone": false}, answers()); diff != "" {
		t.Errorf("what an owner answers that has seen a later one (-want +got):\n%s", diff)
	}
}
