package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// lossyGroup loses the answers of some joins after they have taken effect, or answers slowly.
type lossyGroup struct {
	fakeGroup
	loses    func(n int) bool
	slow     time.Duration
	joins    int
	arrived  time.Time
	longest  time.Duration
	answered int
	// answeredAt is when a join was last answered, longestUnanswered the longest time between two
	// answers.
	answeredAt        time.Time
	longestUnanswered time.Duration
}

func (g *lossyGroup) Join(ctx context.Context, r keyedlog.JoinRequest) (keyedlog.Assignment, error) {
	g.mu.Lock()
	now := time.Now()
	if g.joins++; g.joins > 1 {
		g.longest = max(g.longest, now.Sub(g.arrived))
	}
	g.arrived = now
	wait := g.slow
	if g.loses(g.joins) {
		wait = time.Hour
	}
	g.mu.Unlock()
	select {
	case <-time.After(wait):
		g.mu.Lock()
		g.answered++
		g.longestUnanswered = max(g.longestUnanswered, time.Since(g.answeredAt))
		g.answeredAt = time.Now()
		g.mu.Unlock()
		return g.fakeGroup.Join(ctx, r)
	case <-ctx.Done():
		return keyedlog.Assignment{}, ctx.Err()
	}
}

func runLossy(t *testing.T, g *lossyGroup) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &recordingHolder{}
		g.assignment = keyedlog.Assignment{Generation: 3, Partitions: partitions(0)}
		g.answeredAt = time.Now()
		_, stop := startKeeper(t, g, h)
		defer stop()
		time.Sleep(30 * time.Second)
	})
}

// TestLostAnswersKeepTheMembership loses two of three answers to renewals: the next renewal
// must reach the group before the membership expires.
func TestLostAnswersKeepTheMembership(t *testing.T) {
	g := &lossyGroup{loses: func(n int) bool { return n > 1 && n%3 != 0 }, slow: 4 * time.Millisecond}
	runLossy(t, g)
	if limit := 1200 * time.Millisecond; g.longest >= limit {
		t.Errorf("%s passed between two renewals; the membership expires after %s", g.longest, limit)
	}
}

// TestSlowLogKeepsTheMembership slows the log down to more than the shortest timeout: the
// renewals must wait long enough for its answers.
func TestSlowLogKeepsTheMembership(t *testing.T) {
	g := &lossyGroup{loses: func(int) bool { return false }, slow: 600 * time.Millisecond}
	runLossy(t, g)
	if g.answered < 25 {
		t.Errorf("%d renewals of 30 s were answered by a log that takes 0.6 s", g.answered)
	}
}

// TestJoinsThatAreCarriedOutLateKeepTheMembership loses four of five answers to renewals, whose
// joins the log carries out later: an answered one must come before the membership expires.
func TestJoinsThatAreCarriedOutLateKeepTheMembership(t *testing.T) {
	g := &lossyGroup{loses: func(n int) bool { return n%5 != 0 }, slow: 4 * time.Millisecond}
	runLossy(t, g)
	if limit := 1200 * time.Millisecond; g.longestUnanswered >= limit {
		t.Errorf("%s passed between two answers; the membership expires after %s", g.longestUnanswered, limit)
	}
}
