package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/pause"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/standin"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// cluster is a set of followers that read one log and are peers of each other.
type cluster struct {
	t       *testing.T
	log     *standin.MemoryLog
	mu      sync.Mutex
	running map[string]*Follower
	cancels map[string]context.CancelFunc
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return &cluster{t: t, log: standin.NewMemoryLog(time.Millisecond), running: map[string]*Follower{}, cancels: map[string]context.CancelFunc{}}
}

// clusterPeers returns the states of all followers except self.
type clusterPeers struct {
	c    *cluster
	self string
}

func (p clusterPeers) Snapshots(_ context.Context, above uint64, _ bool) []*wire.Snapshot {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	found := []*wire.Snapshot{}
	for name, f := range p.c.running {
		if s := f.State(); name != p.self && f.Ready() && !s.Restoring && s.Position > above {
			found = append(found, s.Snapshot())
		}
	}
	return found
}

func (c *cluster) start(name string) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := New(c.log, clusterPeers{c, name}, Identity{Name: name, Incarnation: "1", DataCentre: "a"}, WithRestoreWait(5*time.Second))
	c.mu.Lock()
	c.running[name], c.cancels[name] = f, cancel
	c.mu.Unlock()
	go func() {
		if err := f.Run(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			_ = f.Restore(ctx, nil)
			_ = pause.For(ctx, time.Second)
		}
	}()
	return f
}

func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[name]()
	delete(c.running, name)
}

func (c *cluster) stopAll() {
	for name := range c.cancels {
		c.stop(name)
	}
	synctest.Wait()
}

// checkSameState waits a minute, compares the states of all followers and returns
// one of them.
func (c *cluster) checkSameState() *state.State {
	c.t.Helper()
	time.Sleep(time.Minute)
	var first *state.State
	for name, f := range c.running {
		s := f.State()
		if first == nil {
			first = s
		}
		if diff := cmp.Diff(fmt.Sprint(first.Snapshot()), fmt.Sprint(s.Snapshot())); diff != "" {
			c.t.Errorf("the state of follower %s differs (-first +this):\n%s", name, diff)
		}
	}
	return first
}

func patch(base uint64, document string) *wire.Record {
	return &wire.Record{Body: &wire.Record_Patch{Patch: &wire.Patch{
		BaseVersion: base, Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH, Document: []byte(document),
	}}}
}

func submit(t *testing.T, f *Follower, r *wire.Record) state.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	outcome, err := f.Submit(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// TestSubmitOnce submits competing patches while appends are refused, lose their
// answers or take effect late. It guards against a retried patch that is applied
// twice and against an outcome that does not match the state.
func TestSubmitOnce(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			random := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			c.log.SetFaults(func() standin.Fault {
				mu.Lock()
				defer mu.Unlock()
				return []standin.Fault{standin.Refused, standin.AnswerLost, standin.LateEffect, 0, 0}[random.IntN(5)]
			})
			followers := []*Follower{c.start("e0"), c.start("e1"), c.start("e2")}
			accepted := uint64(0)
			for n := range 15 {
				var racers sync.WaitGroup
				base := accepted
				for i, f := range followers {
					racers.Add(1)
					go func() {
						defer racers.Done()
						outcome := submit(t, f, patch(base, fmt.Sprintf(`{"teams":{"t%d-%d":{}}}`, n, i)))
						if outcome.Accepted {
							mu.Lock()
							accepted++
							mu.Unlock()
						}
					}()
				}
				racers.Wait()
			}
			c.log.SetFaults(func() standin.Fault { return standin.NoFault })
			s := c.checkSameState()
			if s.Version != accepted || len(s.Document.Teams) != int(accepted) {
				t.Errorf("seed %d: %d patches were accepted, but the state has version %d and %d teams", seed, accepted, s.Version, len(s.Document.Teams))
			}
			c.stopAll()
		})
	}
}

// TestSnapshotStart guards against a follower that cannot start once the records
// in the log have expired: it must start from the snapshot.
func TestSnapshotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		old := c.start("e0")
		submit(t, old, patch(0, `{"teams":{"a":{}}}`))
		time.Sleep(time.Minute)
		c.log.Log().Expire(time.Now())
		if !old.SnapshotDue(context.Background()) {
			t.Error("no snapshot is due although the log has none")
		}
		if err := old.AppendSnapshot(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.stop("e0")
		fresh := c.start("e1")
		time.Sleep(time.Second)
		if s := fresh.State(); s.Version != 1 || !fresh.Ready() {
			t.Errorf("got version %d, ready %v; want version 1, ready true", s.Version, fresh.Ready())
		}
		c.stopAll()
	})
}

// TestLostLog expires the whole log; the state is then held only by the two followers. It
// guards against a restore that loses an accepted patch.
func TestLostLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := c.start("e0")
		submit(t, first, &wire.Record{Body: &wire.Record_Members{Members: &wire.Members{EntryHosts: []string{"e0", "e1"}}}})
		submit(t, first, patch(0, `{"teams":{"a":{}}}`))
		second := c.start("e1")
		time.Sleep(10 * time.Second)
		c.log.SetFaults(func() standin.Fault { return standin.Refused })
		time.Sleep(10 * time.Second)
		// Records are written and expire during the outage, before any follower reads them.
		for range 3 {
			c.log.Log().Append(ConfigStream, []byte{0xff})
		}
		c.log.Log().Expire(time.Now().Add(time.Hour))
		c.log.SetFaults(func() standin.Fault { return standin.NoFault })
		s := c.checkSameState()
		if _, ok := s.Document.Teams["a"]; !ok || s.Restoring || s.Version <= 1 {
			t.Errorf("the accepted patch is lost or the restore is not finished: version %d, restoring %v", s.Version, s.Restoring)
		}
		if outcome := submit(t, second, patch(s.Version, `{"teams":{"c":{}}}`)); !outcome.Accepted {
			t.Errorf("a patch after the restore was refused: %s", outcome.Message)
		}
		c.stopAll()
	})
}

// TestPeerStart guards against a follower that cannot start while the log is
// unavailable: it must adopt the state of a peer.
func TestPeerStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		old := c.start("e0")
		submit(t, old, patch(0, `{"teams":{"a":{}}}`))
		c.log.SetFaults(func() standin.Fault { return standin.Refused })
		fresh := c.start("e1")
		time.Sleep(5 * time.Second)
		if !fresh.Ready() || fresh.State().Version != 1 || fresh.InContact() {
			t.Errorf("got ready %v, version %d, in contact %v; want true, 1, false", fresh.Ready(), fresh.State().Version, fresh.InContact())
		}
		c.stopAll()
	})
}
