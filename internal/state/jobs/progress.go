package jobs

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// MarshalProgress encodes all recorded progress and the placements.
func (j *Job) MarshalProgress() ([]byte, error) {
	m := &wire.JobProgress{Failed: j.Failed, Pool: j.Pool}
	if !j.EndedAt.IsZero() {
		m.EndedMs = j.EndedAt.UnixMilli()
	}
	numbers := make([]int, 0, len(j.occurrences))
	for number := range j.occurrences {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		if o := j.occurrences[number].toProto(); o != nil {
			m.Occurrences = append(m.Occurrences, o)
		}
	}
	for _, p := range j.Placements {
		m.Placements = append(m.Placements, &wire.Placement{
			Occurrence: int32(p.Task.Occurrence), Step: int32(p.Task.Step), Index: int32(p.Task.Index), //nolint:gosec // Bounded by job.Job.Validate.
			Run: p.Run, Host: string(p.Host), Incarnation: int64(p.Incarnation), PlacedMs: p.PlacedAt.Milliseconds(),
		})
	}
	data, err := proto.Marshal(m)
	return data, errors.Wrap(err, "marshal the progress of the job")
}

// toProto returns nil while no task has progress.
func (o *Occurrence) toProto() *wire.OccurrenceProgress {
	m := &wire.OccurrenceProgress{Number: int32(o.Number), Done: o.Done} //nolint:gosec // Bounded by job.MaxOccurrences.
	if o.Done {
		return m
	}
	hasProgress := false
	for n := range o.Steps {
		s := o.Steps[n].toProto()
		hasProgress = hasProgress || len(s.GetDone()) > 0 || len(s.GetFailures()) > 0 || len(s.GetCrashes()) > 0
		m.Steps = append(m.Steps, s)
	}
	if !hasProgress {
		return nil
	}
	return m
}

func (s *Step) toProto() *wire.StepProgress {
	m := &wire.StepProgress{}
	for n := range s.Tasks {
		if s.Tasks[n].Done {
			for len(m.Done) <= n/8 {
				m.Done = append(m.Done, 0)
			}
			m.Done[n/8] |= 1 << (n % 8)
		}
		if len(s.Tasks[n].FailedRuns) > 0 {
			m.Failures = append(m.Failures, &wire.TaskRuns{Index: int32(n), Runs: s.Tasks[n].FailedRuns}) //nolint:gosec // Bounded by job.MaxTasks.
		}
		if len(s.Tasks[n].CrashedRuns) > 0 {
			m.Crashes = append(m.Crashes, &wire.TaskRuns{Index: int32(n), Runs: s.Tasks[n].CrashedRuns}) //nolint:gosec // Bounded by job.MaxTasks.
		}
	}
	return m
}

// ApplyProgress merges a progress record into the job and replaces its pool and its placements by
// those of the record.
func (j *Job) ApplyProgress(data []byte) error {
	m := &wire.JobProgress{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Wrap(err, "unmarshal the progress of the job")
	}
	if m.GetPool() != "" && m.GetPool() != j.Pool {
		taken := *j.Job
		taken.Pool = m.GetPool()
		j.Job = &taken
	}
	ended := time.UnixMilli(m.GetEndedMs())
	for _, o := range m.GetOccurrences() {
		if !j.HasTask(int(o.GetNumber()), 0, 0) || len(o.GetSteps()) > len(j.Steps) {
			return errors.Newf("progress of occurrence %d, which does not exist in the job", o.GetNumber())
		}
		j.applyOccurrence(o, ended)
	}
	if m.GetFailed() && !j.Failed {
		j.Fail(ended)
	}
	j.Placements = nil
	for _, p := range m.GetPlacements() {
		name := worker.TaskName{Job: string(j.ID), Occurrence: int(p.GetOccurrence()), Step: int(p.GetStep()), Index: int(p.GetIndex())}
		if !j.HasTask(name.Occurrence, name.Step, name.Index) {
			return errors.Newf("placement of task %s, which does not exist in the job", name)
		}
		j.Placements = append(j.Placements, Placement{
			Task: name, Run: p.GetRun(), Host: worker.ID(p.GetHost()), Incarnation: worker.Incarnation(p.GetIncarnation()),
			PlacedAt: time.Duration(p.GetPlacedMs()) * time.Millisecond,
		})
	}
	return nil
}

func (j *Job) applyOccurrence(m *wire.OccurrenceProgress, ended time.Time) {
	number := int(m.GetNumber())
	for step := range j.Steps {
		for index := range j.Steps[step].Tasks {
			if m.GetDone() || markedDone(m.GetSteps(), step, index) {
				j.MarkDone(number, step, index, ended)
			}
		}
	}
	for step, s := range m.GetSteps() {
		for _, failures := range s.GetFailures() {
			if !j.HasTask(number, step, int(failures.GetIndex())) {
				continue
			}
			for _, run := range failures.GetRuns() {
				j.MarkFailed(number, step, int(failures.GetIndex()), run)
			}
		}
		j.applyCrashes(number, step, s)
	}
}

// markedDone reports whether a progress record marks a task as done.
func markedDone(steps []*wire.StepProgress, step, index int) bool {
	if step >= len(steps) {
		return false
	}
	done := steps[step].GetDone()
	return index/8 < len(done) && done[index/8]&(1<<(index%8)) != 0
}
