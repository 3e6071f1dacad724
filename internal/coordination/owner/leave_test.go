package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// lateGroup has one member. While late is set, its calls get no answer; joins are carried out
// lateBy after they were sent, leaves never.
type lateGroup struct {
	mu     sync.Mutex
	late   bool
	lateBy time.Duration
	// expiresAt is when the membership ends.
	expiresAt time.Time
	leaves    int
	// lateJoins counts the joins that were carried out late.
	lateJoins int
}

func (g *lateGroup) set(late bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = late
}

func (g *lateGroup) isMember() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.expiresAt)
}

func (g *lateGroup) carryOut(ttl time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expiresAt = time.Now().Add(ttl)
}

func (g *lateGroup) carryOutLate(ttl time.Duration) {
	g.carryOut(ttl)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateJoins++
}

func (g *lateGroup) answers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.late
}

func (g *lateGroup) Join(ctx context.Context, r keyedlog.JoinRequest) (keyedlog.Assignment, error) {
	if !g.answers() {
		time.AfterFunc(g.lateBy, func() { g.carryOutLate(r.TTL) })
		<-ctx.Done()
		return keyedlog.Assignment{}, errors.New("no answer")
	}
	g.carryOut(r.TTL)
	return keyedlog.Assignment{Generation: 3, Partitions: partitions(0)}, nil
}

func (g *lateGroup) Leave(ctx context.Context, _, _ string) error {
	answers := g.answers()
	g.mu.Lock()
	g.leaves++
	if answers {
		g.expiresAt = time.Now()
	}
	g.mu.Unlock()
	if !answers {
		<-ctx.Done()
		return errors.New("no answer")
	}
	return nil
}

func withLateGroup(t *testing.T, run func(t *testing.T, g *lateGroup, k *Keeper)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// No join is carried out at the time of a leave, so that samples show each absence.
		g, h := &lateGroup{lateBy: 3070 * time.Millisecond}, &recordingHolder{}
		k, stop := startKeeper(t, g, h)
		defer stop()
		time.Sleep(time.Second)
		run(t, g, k)
	})
}

// TestUnansweredLeaveIsRepeated leaves while the log does not answer for a short time: the host
// must not stay a member until its membership expires, 1.1 s after the leave.
func TestUnansweredLeaveIsRepeated(t *testing.T) {
	withLateGroup(t, func(t *testing.T, g *lateGroup, k *Keeper) {
		g.set(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() { _ = k.Leave(ctx) }() // The fake does not answer it.
		time.Sleep(200 * time.Millisecond)
		if !g.isMember() {
			t.Fatal("not a member although no leave was carried out")
		}
		g.set(false)
		time.Sleep(700 * time.Millisecond)
		if g.isMember() {
			t.Error("still a member 0.9 s after the host left, 0.7 s after the log began to answer")
		}
	})
}

// TestLateJoinIsUndone leaves after renewals without an answer, which are carried out after the
// leave: the partitions must not be assigned for long to a host that has left or does not stand.
func TestLateJoinIsUndone(t *testing.T) {
	for name, leave := range map[string]func(*Keeper, context.Context) error{"leave": (*Keeper).Leave, "resign": (*Keeper).Resign} {
		t.Run(name, func(t *testing.T) {
			withLateGroup(t, func(t *testing.T, g *lateGroup, k *Keeper) {
				g.set(true)
				time.Sleep(2 * time.Second)
				g.set(false)
				if err := leave(k, t.Context()); err != nil {
					t.Fatal(err)
				}
				began, longest := time.Now(), time.Duration(0)
				since := began
				for time.Since(began) < 8*time.Second {
					time.Sleep(10 * time.Millisecond)
					if !g.isMember() {
						since = time.Now()
					}
					longest = max(longest, time.Since(since))
				}
				if g.lateJoins < 2 {
					t.Errorf("%d joins were carried out late; want some", g.lateJoins)
				}
				if limit := 600 * time.Millisecond; longest > limit {
					t.Errorf("a member for %s by a join carried out late; want at most %s", longest, limit)
				}
			})
		})
	}
}

// TestNoCallsAfterALeaveThatIsCertain leaves while no renewal is without an answer: one call must
// do, since calls of the log are few and priced.
func TestNoCallsAfterALeaveThatIsCertain(t *testing.T) {
	withLateGroup(t, func(t *testing.T, g *lateGroup, k *Keeper) {
		if err := k.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		if g.leaves != 1 || g.isMember() {
			t.Errorf("%d leaves, member %v; want one leave and no member", g.leaves, g.isMember())
		}
	})
}

// tenureGroup has one member, whose partitions get a new generation with each leave that is carried
// out. While mute is set, leaves get no answer and are not carried out.
type tenureGroup struct {
	mu         sync.Mutex
	mute       bool
	generation int64
}

func (g *tenureGroup) set(mute bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mute = mute
}

func (g *tenureGroup) Join(context.Context, keyedlog.JoinRequest) (keyedlog.Assignment, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return keyedlog.Assignment{Generation: g.generation, Partitions: partitions(0)}, nil
}

func (g *tenureGroup) Leave(ctx context.Context, _, _ string) error {
	g.mu.Lock()
	mute := g.mute
	if !mute {
		g.generation++
	}
	g.mu.Unlock()
	if mute {
		<-ctx.Done()
		return errors.New("no answer")
	}
	return nil
}

// TestNoTwoTenuresWithOneToken resigns without an answer and stands again at once: workers can't
// refuse the late orders of the first tenure if the second has its token.
func TestNoTwoTenuresWithOneToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := &tenureGroup{generation: 3}, &recordingHolder{}
		k, stop := startKeeper(t, g, h)
		defer stop()
		time.Sleep(time.Second)
		g.set(true)
		if err := k.Resign(t.Context()); err == nil {
			t.Fatal("the leave was answered")
		}
		k.Stand()
		time.Sleep(time.Second)
		g.set(false)
		time.Sleep(2 * time.Second)
		h.want(t, "acquire 0 with 3", "release 0", "acquire 0 with 4")
	})
}
