package quota

import (
	"fmt"
	"testing"
	"time"
)

// wantUsed checks the share of the quota that runs in a pool.
func (s *site) wantUsed(name string, least float64) {
	s.Helper()
	if used := s.used(s.pools[name]); used < least {
		s.Errorf("pool %s uses %.3f of the quota, less than %.3f; part %.3f", name, used, least, s.pools[name].part)
	}
}

// TestPeaksGoRound guards against parts that stay where the last peak was: a pool at its peak wants
// five times its mean, most of the quota.
func TestPeaksGoRound(t *testing.T) {
	s := newSite(t, 1, 0.002, "a", "b", "c")
	for round := range 6 {
		peak := s.names[round%3]
		for _, name := range s.names {
			s.pools[name].demand = 0.04
		}
		s.pools[peak].demand = 0.8
		// The tasks of the last peak take up to 4 s to end.
		s.pass(5 * time.Second)
		s.wantUsed(peak, 0.7)
	}
}

// TestContendedQuotaIsDividedEvenly guards against a pool that keeps the quota because it came first.
func TestContendedQuotaIsDividedEvenly(t *testing.T) {
	s := newSite(t, 2, 0.01, "a", "b")
	s.pools["a"].demand = 2
	s.pass(3 * time.Second)
	s.wantUsed("a", 0.85)
	s.pools["b"].demand = 2
	s.pass(15 * time.Second)
	s.wantUsed("a", 0.4)
	s.wantUsed("b", 0.4)
}

// TestLargeTasksAreNotBlockedByEvenParts guards against parts that are all too small for one task.
func TestLargeTasksAreNotBlockedByEvenParts(t *testing.T) {
	s := newSite(t, 3, 0.3, "a", "b", "c", "d", "e")
	for _, p := range s.pools {
		p.demand = 0.3
	}
	s.pass(10 * time.Second)
	before := s.starts
	s.pass(20 * time.Second)
	if started := s.starts - before; started < 8 {
		t.Errorf("%d tasks started within 20 s, want at least 8", started)
	}
}

// TestQuotaChangesInAPeak guards against starts above a lowered quota and a raised one that has no effect.
func TestQuotaChangesInAPeak(t *testing.T) {
	s := newSite(t, 4, 0.002, "a", "b", "c")
	s.pools["a"].demand, s.pools["b"].demand = 0.7, 0.7
	s.pass(5 * time.Second)
	s.setQuota(0.4)
	s.pass(10 * time.Second)
	if total := s.total(); total > 0.4 || total < 0.3 {
		t.Errorf("%.3f runs under a quota of 0.4", total)
	}
	s.setQuota(1)
	s.pass(5 * time.Second)
	if total := s.total(); total < 0.9 {
		t.Errorf("%.3f runs under a quota of 1", total)
	}
}

// TestLostPoolOwner guards against lending what runs in a pool whose owner is lost, and against a
// part that the successor does not get back.
func TestLostPoolOwner(t *testing.T) {
	s := newSite(t, 5, 0.002, "a", "b", "c")
	s.pools["a"].demand, s.pools["b"].demand = 0.6, 0.6
	s.pass(5 * time.Second)
	s.pools["a"].down = true
	s.pass(6 * time.Second)
	s.replaceOwner("a")
	s.pass(5 * time.Second)
	s.wantUsed("a", 0.4)
}

// TestLostFleetOwner guards against a new decider that lends what it does not know to be free: pools
// keep their parts until all have answered it.
func TestLostFleetOwner(t *testing.T) {
	s := newSite(t, 6, 0.002, "a", "b", "c")
	s.pools["a"].demand = 0.8
	s.pass(3 * time.Second)
	s.deciders = nil
	s.pools["a"].demand, s.pools["b"].demand = 0, 0.8
	s.pass(3 * time.Second)
	next := &decider{New(2), map[string]bool{"a": true}}
	s.deciders = []*decider{next}
	s.pass(3 * time.Second)
	if part := s.pools["b"].part; part > 0.2 {
		t.Errorf("b has a part of %.3f before a has answered the new decider", part)
	}
	clear(next.cutOff)
	s.pass(time.Second)
	s.wantUsed("b", 0.7)
}

// TestTwoFleetOwners guards against an earlier decider that goes on: it is refused and notices.
func TestTwoFleetOwners(t *testing.T) {
	s := newSite(t, 7, 0.002, "a", "b", "c")
	s.pools["a"].demand = 0.8
	s.pass(2 * time.Second)
	s.deciders = append(s.deciders, &decider{New(2), map[string]bool{}})
	s.pools["a"].demand, s.pools["b"].demand = 0.1, 0.8
	s.pass(6 * time.Second)
	if !s.deciders[0].Superseded() || s.deciders[1].Superseded() {
		t.Errorf("superseded: the earlier decider %v, the later %v", s.deciders[0].Superseded(), s.deciders[1].Superseded())
	}
	s.wantUsed("b", 0.7)
}

// TestSilentPoolKeepsItsPart guards against lending the part of a pool that does not answer, and
// against others that get nothing meanwhile.
func TestSilentPoolKeepsItsPart(t *testing.T) {
	s := newSite(t, 8, 0.002, "a", "b", "c")
	s.pools["a"].demand = 0.4
	s.pass(3 * time.Second)
	s.deciders[0].cutOff["a"] = true
	s.pools["b"].demand = 0.9
	s.pass(5 * time.Second)
	s.wantUsed("a", 0.3)
	s.wantUsed("b", 0.35)
}

// TestOvertakenAndLostAllotments guards against a raise that arrives after a later reduction, and
// against one that is lost for good.
func TestOvertakenAndLostAllotments(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	report := func(sequence int64, part, wanted float64) Report {
		return Report{Token: 1, FleetToken: 1, Sequence: sequence, Organisations: map[string]Use{organisationName: {Part: part, Wanted: wanted}}}
	}
	d := New(1)
	divide := func(reports map[string]Report) map[string]Allotment {
		found := map[string]Allotment{}
		for _, a := range d.Divide(now, []string{"a", "b"}, []string{organisationName}, reports) {
			found[a.Pool] = a
		}
		return found
	}
	raised := divide(map[string]Report{"a": report(0, 0.1, 0.9), "b": report(0, 0.1, 0)})["a"]
	if part := raised.Parts[organisationName]; part < 0.89 {
		t.Fatalf("a is raised to %.3f", part)
	}
	// The answer is lost: the demand has moved, and the raise may still arrive.
	second := divide(map[string]Report{"a": report(0, 0.1, 0), "b": report(0, 0.1, 0.9)})
	if part := second["b"].Parts[organisationName]; part > 0.11 {
		t.Errorf("b is raised to %.3f while a may get %.3f", part, raised.Parts[organisationName])
	}
	if second["a"].Sequence <= raised.Sequence {
		t.Errorf("no later allotment revokes the raise of a: %+v", second["a"])
	}
	third := divide(map[string]Report{"a": report(second["a"].Sequence, 0.1, 0), "b": report(0, 0.1, 0.9)})
	if part := third["b"].Parts[organisationName]; part < 0.89 {
		t.Errorf("b is raised to %.3f after a has confirmed the later allotment", part)
	}
}

// TestRandomFailures checks that nothing is lent twice while messages are lost and late, owners
// change and are cut off, deciders overlap and quotas change.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			s := newSite(t, seed, 0.01, "a", "b", "c", "d")
			s.lossRate = 0.15
			for range 60 * int(time.Second/tick) {
				s.disturb(seed%2 == 1)
				s.step()
			}
			if s.starts < 100 {
				t.Errorf("only %d tasks started in a minute", s.starts)
			}
		})
	}
}

// disturb changes what the next tick meets.
func (s *site) disturb(changesQuota bool) {
	name := s.names[s.IntN(len(s.names))]
	p, newest := s.pools[name], s.deciders[len(s.deciders)-1]
	switch roll := s.IntN(400); {
	case roll < 10:
		p.demand = max(0, s.Float64()*1.2-0.4)
	case roll < 12:
		p.down = true
	case roll < 20 && p.down:
		s.replaceOwner(name)
	case roll == 21:
		s.replaceOwner(name)
	case roll < 24:
		newest.cutOff[name] = true
	case roll < 32:
		clear(newest.cutOff)
	case roll == 33:
		s.deciders = append(s.deciders[max(0, len(s.deciders)-1):], &decider{New(newest.token + 1), map[string]bool{}})
	case roll < 36 && len(s.deciders) > 1:
		s.deciders = s.deciders[1:]
	case roll == 37 && changesQuota && s.now.Sub(s.quotas[len(s.quotas)-1].at) > graceTime:
		s.setQuota(0.4 + 0.6*s.Float64())
	}
}

// TestExceededQuotaStopsStarts guards against starts within the floors while another pool still uses
// more than a lowered quota.
func TestExceededQuotaStopsStarts(t *testing.T) {
	d := New(1)
	allotments := d.Divide(time.Unix(1_000_000, 0), []string{"a", "b"}, []string{organisationName}, map[string]Report{
		"a": {Token: 1, FleetToken: 1, Organisations: map[string]Use{organisationName: {Part: 0.8, Used: 1.5, Wanted: 2}}},
		"b": {Token: 1, FleetToken: 1, Organisations: map[string]Use{organisationName: {Part: 0.1, Wanted: 1}}},
	})
	for _, a := range allotments {
		if part := a.Parts[organisationName]; part != 0 {
			t.Errorf("pool %s gets a part of %.3f", a.Pool, part)
		}
	}
	if len(allotments) != 2 {
		t.Errorf("%d allotments, want one for each pool", len(allotments))
	}
}
