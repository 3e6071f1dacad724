package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// startGang plans until the gang has started and returns its starts by host.
func (h *harness) startGang(members int) map[worker.ID]Start {
	h.Helper()
	runs := map[worker.ID]Start{}
	for range 50 {
		starts, _ := h.plan()
		for _, s := range starts {
			runs[s.Target.ID] = s
		}
		h.accept(starts...)
		if len(runs) == members {
			return runs
		}
		h.advance(100 * time.Millisecond)
	}
	h.Fatalf("%d of %d members were started", len(runs), members)
	return nil
}

// TestGangResumesFromOneCheckpoint guards against members of a gang that are started with different
// checkpoints, and so can never work together.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	hosts := []worker.ID{"h1", "h2", "h3"}
	// How the gang ends: in which order the hosts list the ends, with what checkpoints.
	type end struct {
		host       worker.ID
		checkpoint string
	}
	for name, c := range map[string]struct {
		// listed are the checkpoints that the hosts list while the gang works.
		listed  []string
		ends    []end
		crashed worker.ID
	}{
		"worker crashes":      {[]string{"1500", "2000", "1500"}, []end{{"h2", "2000"}, {"h3", "1500"}}, "h1"},
		"all end":             {[]string{"500", "1000", "1500"}, []end{{"h3", "1600"}, {"h1", "1700"}, {"h2", "1800"}}, ""},
		"in another order":    {[]string{"500", "1000", "1500"}, []end{{"h2", "1800"}, {"h1", "1700"}, {"h3", "1600"}}, ""},
		"one has none":        {[]string{"", "500", ""}, []end{{"h1", ""}, {"h2", "500"}, {"h3", ""}}, ""},
		"none has one":        {[]string{"", "", ""}, []end{{"h1", ""}, {"h2", ""}, {"h3", ""}}, ""},
		"only a lost one had": {[]string{"500", "", ""}, []end{{"h2", ""}, {"h3", ""}}, "h1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, hosts...)
			gang := testStep(3, 9000)
			gang.Gang, gang.SavesProgress = true, true
			h.add(idA, gang)
			runs := h.startGang(3)
			for n, id := range hosts {
				h.renewRunning(id, 1, []worker.ActiveRun{{Task: runs[id].Order.Task, Run: runs[id].Order.Run, Percent: fullSpeed, Usage: 9000, Checkpoint: c.listed[n]}})
			}
			h.advance(time.Second)
			for _, e := range c.ends {
				ended := endedRun(runs[e.host], worker.OutcomeGangBroken)
				ended.Checkpoint = e.checkpoint
				h.renew(e.host, 1, ended)
			}
			if c.crashed != "" {
				h.ends[c.crashed] = 0
				h.renew(c.crashed, 2)
			}
			again := h.startGang(3)
			used := map[string]int{}
			for _, s := range again {
				used[s.Order.Checkpoint]++
			}
			if len(used) != 1 {
				t.Errorf("members were started with the checkpoints %v", used)
			}
			var known []string
			for _, e := range c.ends {
				known = append(known, e.checkpoint)
			}
			for checkpoint := range used {
				if !slices.Contains(append(known, c.listed...), checkpoint) || (checkpoint == "" && slices.Max(append(known, c.listed...)) != "") {
					t.Errorf("members were started with %q, of %v and %v", checkpoint, c.listed, known)
				}
			}
		})
	}
}

// TestLateEndOfAGangKeepsItsCheckpoint guards against a gang that goes back to the checkpoint of an
// earlier run, the end of which was read late.
func TestLateEndOfAGangKeepsItsCheckpoint(t *testing.T) {
	h := newHarness(t, "h1", "h2")
	gang := testStep(2, 9000)
	gang.Gang, gang.SavesProgress = true, true
	h.add(idA, gang)
	runs := h.startGang(2)
	h.advance(time.Second)
	for _, id := range []worker.ID{"h1", "h2"} {
		ended := endedRun(runs[id], worker.OutcomeGangBroken)
		ended.Checkpoint = "2"
		h.renew(id, 1, ended)
	}
	late := endedRun(runs["h1"], worker.OutcomeGangBroken)
	late.Run, late.Checkpoint = late.Run-1, "1"
	h.renew("h1", 1, late)
	got := map[string]int{}
	for _, s := range h.startGang(2) {
		got[s.Order.Checkpoint]++
	}
	if diff := cmp.Diff(map[string]int{"2": 2}, got); diff != "" {
		t.Errorf("checkpoints of the next run (-want +got):\n%s", diff)
	}
}
