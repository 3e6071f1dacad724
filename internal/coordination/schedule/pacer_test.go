package schedule

import (
	"testing"
	"time"
)

// TestPacer plays a pool in a burst: an event each 2 ms, and plans of 5 ms each. Plans must
// keep to their share of the time, and no event may wait for long.
func TestPacer(t *testing.T) {
	const (
		burst     = 10 * time.Second
		eventGap  = 2 * time.Millisecond
		planTime  = 5 * time.Millisecond
		maxWaited = planTime*10 + eventGap
	)
	var p Pacer
	var planned, longest time.Duration
	now, since := epoch, epoch
	for waiting := 0; now.Before(epoch.Add(burst)); now = now.Add(eventGap) {
		if waiting++; waiting == 1 {
			since = now
		}
		if p.Due(now) > 0 {
			continue
		}
		longest = max(longest, now.Sub(since))
		began := now
		now = now.Add(planTime)
		p.Planned(began, now)
		planned += planTime
		waiting = 0
	}
	if share := planned.Seconds() / burst.Seconds(); share > planShare*1.01 {
		t.Errorf("plans took %.3f of the time; want at most %.3f", share, planShare)
	}
	if longest > maxWaited {
		t.Errorf("an event waited %s; want at most %s", longest, maxWaited)
	}
}

// TestPacerAfterASlowPlan checks that a plan which was held up itself does not hold the next
// one up for long.
func TestPacerAfterASlowPlan(t *testing.T) {
	var p Pacer
	p.Planned(epoch, epoch.Add(3*time.Second))
	if due := p.Due(epoch.Add(3 * time.Second)); due != maxPlanPause {
		t.Errorf("the next plan is due in %s; want %s", due, maxPlanPause)
	}
}
