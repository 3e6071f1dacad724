package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// fakeGroup answers joins with the membership and error that a test sets.
type fakeGroup struct {
	mu sync.Mutex

	assignment keyedlog.Assignment
	err        error
	left       bool
	// joinsAfterLeave counts the joins after the member has left.
	joinsAfterLeave int
}

func (g *fakeGroup) Join(context.Context, keyedlog.JoinRequest) (keyedlog.Assignment, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left {
		g.joinsAfterLeave++
	}
	return g.assignment, g.err
}

func (g *fakeGroup) Leave(context.Context, string, string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
	return nil
}

// recordingHolder records the keeper's calls.
type recordingHolder struct {
	mu    sync.Mutex
	lines []string
}

func (h *recordingHolder) Acquire(p keyedlog.Partition, token int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, fmt.Sprintf("acquire %d with %d", p.Number, token))
}

func (h *recordingHolder) Release(p keyedlog.Partition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, fmt.Sprintf("release %d", p.Number))
}

func (h *recordingHolder) Event(string, ...any) {}

func (h *recordingHolder) want(t *testing.T, want ...string) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if diff := cmp.Diff(want, h.lines); diff != "" {
		t.Errorf("calls to the holder (-want +got):\n%s", diff)
	}
	h.lines = nil
}

func partitions(numbers ...int) []keyedlog.Partition {
	var all []keyedlog.Partition
	for _, n := range numbers {
		all = append(all, keyedlog.Partition{Topic: "jobs", Number: n})
	}
	return all
}

// set changes the group's answers under its lock.
func (g *fakeGroup) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// startKeeper runs a keeper that stands, until stop is called.
func startKeeper(t *testing.T, g Group, h *recordingHolder) (k *Keeper, stop func()) {
	t.Helper()
	k = New(g, h, h, time.Now, keyedlog.JoinRequest{Group: "g", Member: "m", TTL: 1200 * time.Millisecond})
	k.Stand()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	return k, func() {
		cancel()
		<-done
	}
}

func withKeeper(t *testing.T, run func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g, h := &fakeGroup{}, &recordingHolder{}
		g.assignment = keyedlog.Assignment{Generation: 3, Partitions: partitions(0, 1)}
		k, stop := startKeeper(t, g, h)
		defer stop()
		time.Sleep(time.Second)
		h.want(t, "acquire 0 with 3", "acquire 1 with 3")
		run(t, g, h, k)
	})
}

func TestChangedAssignment(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, _ *Keeper) {
		g.set(func() { g.assignment = keyedlog.Assignment{Generation: 4, Partitions: partitions(1, 2)} })
		time.Sleep(time.Second)
		h.want(t, "release 0", "acquire 2 with 4")
	})
}

func TestNewGenerationAfterGapStartsNewTenure(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		time.Sleep(3 * time.Second)
		if age := time.Since(k.Confirmed()); age < 2*time.Second {
			t.Errorf("confirmed %s ago, with no answer for 3 s", age)
		}
		g.set(func() { g.err, g.assignment.Generation = nil, 6 })
		time.Sleep(time.Second)
		h.want(t, "release 0", "release 1", "acquire 0 with 6", "acquire 1 with 6")
	})
}

func TestSameGenerationAfterGapKeepsTenure(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, _ *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		time.Sleep(3 * time.Second)
		g.set(func() { g.err = nil })
		time.Sleep(time.Second)
		h.want(t)
	})
}

func TestReacquire(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		k.Reacquire(partitions(0)[0], 3)
		h.want(t, "release 0")
		g.set(func() { g.assignment.Generation = 5 })
		time.Sleep(time.Second)
		h.want(t, "acquire 0 with 5")
	})
}

// TestReacquireForAnEndedTenure guards against two tenures with one token: a request that was meant
// for the tenure before the gap ended the one after it.
func TestReacquireForAnEndedTenure(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		time.Sleep(3 * time.Second)
		g.set(func() { g.err, g.assignment.Generation = nil, 6 })
		time.Sleep(time.Second)
		h.want(t, "release 0", "release 1", "acquire 0 with 6", "acquire 1 with 6")
		k.Reacquire(partitions(0)[0], 3)
		time.Sleep(time.Second)
		h.want(t)
		g.set(func() { g.assignment.Generation = 7 })
		time.Sleep(time.Second)
		k.Reacquire(partitions(0)[0], 6)
		k.Reacquire(partitions(0)[0], 6)
		h.want(t, "release 0", "acquire 0 with 7")
	})
}

func TestLeave(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		if err := k.Leave(t.Context()); err != nil || !g.left {
			t.Errorf("left %v, error %v", g.left, err)
		}
		time.Sleep(time.Second)
		h.want(t, "release 0", "release 1")
		if g.joinsAfterLeave > 0 {
			t.Errorf("%d joins after the member had left: it would be assigned partitions again", g.joinsAfterLeave)
		}
	})
}

func TestResignAndStandAgain(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		if err := k.Resign(t.Context()); err != nil || !g.left {
			t.Errorf("left %v, error %v", g.left, err)
		}
		time.Sleep(time.Second)
		h.want(t, "release 0", "release 1")
		if g.joinsAfterLeave > 0 || k.Joined() {
			t.Errorf("%d joins after the member had resigned; joined %v", g.joinsAfterLeave, k.Joined())
		}
		g.set(func() { g.left, g.assignment.Generation = false, 5 })
		k.Stand()
		time.Sleep(time.Second)
		h.want(t, "acquire 0 with 5", "acquire 1 with 5")
		if !k.Joined() {
			t.Error("not joined a second after the member stands again")
		}
	})
}

// TestResignWithoutAnAnswer resigns while the log does not answer: the work must end at once.
func TestResignWithoutAnAnswer(t *testing.T) {
	withKeeper(t, func(t *testing.T, g *fakeGroup, h *recordingHolder, k *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		_ = k.Resign(t.Context()) // The fake answers a leave in any case.
		h.want(t, "release 0", "release 1")
	})
}
