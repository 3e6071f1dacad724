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

// fakeGroup answers with what a test sets.
type fakeGroup struct {
	mu sync.Mutex

	membership keyedlog.Membership
	err        error
	left       bool
	// joinsAfter counts the joins after the member has left.
	joinsAfter int
}

func (g *fakeGroup) Join(context.Context, keyedlog.JoinRequest) (keyedlog.Membership, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left {
		g.joinsAfter++
	}
	return g.membership, g.err
}

func (g *fakeGroup) Leave(context.Context, string, string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = true
	return nil
}

// notes writes down what the keeper tells.
type notes struct {
	mu    sync.Mutex
	lines []string
}

func (n *notes) Acquire(p keyedlog.Partition, token int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, fmt.Sprintf("acquire %d with %d", p.Number, token))
}

func (n *notes) Release(p keyedlog.Partition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, fmt.Sprintf("release %d", p.Number))
}

func (n *notes) Event(string, ...any) {}

func (n *notes) want(t *testing.T, want ...string) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if diff := cmp.Diff(want, n.lines); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
	n.lines = nil
}

func parts(numbers ...int) []keyedlog.Partition {
	var all []keyedlog.Partition
	for _, n := range numbers {
		all = append(all, keyedlog.Partition{Topic: "jobs", Number: n})
	}
	return all
}

// set changes what the group answers.
func (g *fakeGroup) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func play(t *testing.T, run func(t *testing.T, g *fakeGroup, n *notes, k *Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g, n := &fakeGroup{}, &notes{}
		g.membership = keyedlog.Membership{Generation: 3, Partitions: parts(0, 1)}
		k := New(g, n, n, time.Now, keyedlog.JoinRequest{Group: "g", Member: "m", TTL: 1200 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Run(ctx)
		}()
		time.Sleep(time.Second)
		n.want(t, "acquire 0 with 3", "acquire 1 with 3")
		run(t, g, n, k)
		cancel()
		<-done
	})
}

func TestChangeOfShare(t *testing.T) {
	play(t, func(t *testing.T, g *fakeGroup, n *notes, _ *Keeper) {
		g.set(func() { g.membership = keyedlog.Membership{Generation: 4, Partitions: parts(1, 2)} })
		time.Sleep(time.Second)
		n.want(t, "release 0", "acquire 2 with 4")
	})
}

func TestGapMeansANewTenure(t *testing.T) {
	play(t, func(t *testing.T, g *fakeGroup, n *notes, k *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		time.Sleep(3 * time.Second)
		if age := time.Since(k.Confirmed()); age < 2*time.Second {
			t.Errorf("confirmed %s ago, with no answer for 3 s", age)
		}
		g.set(func() { g.err, g.membership.Generation = nil, 6 })
		time.Sleep(time.Second)
		n.want(t, "release 0", "release 1", "acquire 0 with 6", "acquire 1 with 6")
	})
}

func TestGapWithoutAChangeKeepsTheTenure(t *testing.T) {
	play(t, func(t *testing.T, g *fakeGroup, n *notes, _ *Keeper) {
		g.set(func() { g.err = errors.New("no answer") })
		time.Sleep(3 * time.Second)
		g.set(func() { g.err = nil })
		time.Sleep(time.Second)
		n.want(t)
	})
}

func TestReacquire(t *testing.T) {
	play(t, func(t *testing.T, g *fakeGroup, n *notes, k *Keeper) {
		k.Reacquire(parts(0)[0], 3)
		n.want(t, "release 0")
		g.set(func() { g.membership.Generation = 5 })
		time.Sleep(time.Second)
		n.want(t, "acquire 0 with 5")
	})
}

func TestLeave(t *testing.T) {
	play(t, func(t *testing.T, g *fakeGroup, n *notes, k *Keeper) {
		if err := k.Leave(t.Context()); err != nil || !g.left {
			t.Errorf("left %v, error %v", g.left, err)
		}
		time.Sleep(time.Second)
		n.want(t, "release 0", "release 1")
		if g.joinsAfter > 0 {
			t.Errorf("%d joins after the member had left: it would be dealt partitions again", g.joinsAfter)
		}
	})
}
