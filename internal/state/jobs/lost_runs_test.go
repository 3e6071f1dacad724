package jobs

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// TestCrashesAreLostInTheRecord: a new owner knows the crashes from the record of progress.
func TestCrashesAreLostInTheRecord(t *testing.T) {
	definition := &job.Job{ID: "aaaaaaaaaaaaaaaa", Steps: []job.Step{{Tasks: 2}, {Tasks: 3}}}
	before := New(definition)
	before.MarkCrashed(0, 1, 2, 7)
	before.MarkCrashed(0, 1, 2, 7)
	before.MarkCrashed(0, 1, 2, 9)
	before.MarkCrashed(0, 0, 1, 8)
	before.ClearCrashes(0, 0, 1)
	data, err := before.MarshalProgress()
	if err != nil {
		t.Fatal(err)
	}
	after := New(definition)
	if err := after.ApplyProgress(data); err != nil {
		t.Fatal(err)
	}
	want := []CrashedTask{{Step: 1, Index: 2, Crashes: 2}}
	if diff := cmp.Diff(want, after.CrashedTasks()); diff != "" {
		t.Errorf("crashed tasks (-want +got):\n%s", diff)
	}
}
