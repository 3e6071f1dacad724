package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// place gives a task a placement, or takes its placements away.
func (j *Job) place(name worker.TaskName, run int64) {
	j.Placements = slices.DeleteFunc(j.Placements, func(p Placement) bool { return p.Task == name })
	if run > 0 {
		j.Placements = append(j.Placements, Placement{Task: name, Run: run, Host: worker.ID(fmt.Sprintf("host-%d", run%50)), Incarnation: 1767571200000, PlacedAt: time.Duration(run) * time.Millisecond})
	}
}

// TestProgressPartsAreBoundedAndMerge guards against a record of progress that grows with the number
// of tasks, and against progress or placements that are lost between its parts.
func TestProgressPartsAreBoundedAndMerge(t *testing.T) {
	const limit, tasksPerPart = 16 << 10, 16
	definition := &job.Job{ID: "aaaaaaaaaaaaaaaa", Pool: "maps", Occurrences: 3, Steps: []job.Step{{Tasks: 50}, {Tasks: 700}, {Tasks: 3}}}
	rng := rand.New(rand.NewPCG(1, 1))
	owner := New(definition)
	owner.SplitProgress(tasksPerPart)
	log := map[int][]byte{}
	for round := range 60 {
		for range 200 {
			name := worker.TaskName{Job: "aaaaaaaaaaaaaaaa", Occurrence: rng.IntN(3), Step: rng.IntN(3)}
			name.Index = rng.IntN(definition.Steps[name.Step].Tasks)
			switch run := int64(1 + rng.IntN(1_000_000)); rng.IntN(5) {
			case 0:
				owner.MarkDone(name.Occurrence, name.Step, name.Index, time.UnixMilli(run))
				owner.place(name, 0)
			case 1:
				owner.MarkFailed(name.Occurrence, name.Step, name.Index, run)
			case 2:
				owner.MarkCrashed(name.Occurrence, name.Step, name.Index, run)
			default:
				owner.place(name, run)
			}
		}
		parts, err := owner.ChangedParts()
		if err != nil {
			t.Fatal(err)
		}
		if round%7 == 3 {
			// The append failed.
			owner.PartsNotWritten()
			continue
		}
		for _, part := range parts {
			if len(part.Data) > limit {
				t.Fatalf("part %d has %d bytes; at most %d are allowed", part.Number, len(part.Data), limit)
			}
			if log[part.Number] = part.Data; part.Data == nil {
				delete(log, part.Number)
			}
		}
		next := New(definition)
		next.SplitProgress(tasksPerPart)
		if err := next.ApplyParts(log); err != nil {
			t.Fatal(err)
		}
		byName := func(a, b Placement) int { return strings.Compare(a.Task.String(), b.Task.String()) }
		slices.SortFunc(owner.Placements, byName)
		slices.SortFunc(next.Placements, byName)
		want, errWant := owner.MarshalProgress()
		got, errGot := next.MarshalProgress()
		if diff := cmp.Diff(want, got); diff != "" || errWant != nil || errGot != nil {
			t.Fatalf("round %d: progress (-want +got):\n%s", round, diff)
		}
		owner = next
	}
}
