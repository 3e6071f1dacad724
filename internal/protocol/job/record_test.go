package job

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestWideBoundsAreKept guards against a job that is accepted and then can't be read, since a number
// of it does not fit its record: callers may say that there is no bound by a large one.
func TestWideBoundsAreKept(t *testing.T) {
	const large = 1<<53 - 1
	for name, change := range map[string]func(*Job, *Step){
		"tasks on a host":   func(_ *Job, s *Step) { s.MaxPerHost = large },
		"unavailable tasks": func(_ *Job, s *Step) { s.MaxUnavailable = large },
		"estimate":          func(_ *Job, s *Step) { s.Estimate = math.MaxInt64 },
		"tail target":       func(_ *Job, s *Step) { s.TailTarget = math.MaxInt64 },
		"interval": func(j *Job, _ *Step) {
			j.Occurrences, j.Interval, j.FirstAt = MaxOccurrences, math.MaxInt64, time.UnixMilli(1)
		},
		"latency target":     func(j *Job, _ *Step) { j.LatencyTarget = math.MaxInt64 },
		"priority, attempts": func(j *Job, _ *Step) { j.Priority, j.MaxAttempts = large, large },
	} {
		j := &Job{ID: "00000000000000aa", Pool: "maps", AcceptedAt: time.UnixMilli(1), MaxAttempts: 1, Steps: []Step{{Tasks: 2}}}
		change(j, &j.Steps[0])
		j.Limit()
		if err := j.Validate(); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		data, err := j.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Unmarshal(data)
		if err != nil {
			t.Errorf("%s: the record can't be read: %v", name, err)
			continue
		}
		if diff := cmp.Diff(j, got, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s: job (-want +got):\n%s", name, diff)
		}
		if got.EarliestStart(MaxOccurrences - 1).Before(got.EarliestStart(0)) {
			t.Errorf("%s: the last occurrence starts before the first", name)
		}
	}
}
