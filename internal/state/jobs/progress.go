package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Part is the record of a part of a job's progress.
type Part struct {
	// Number is 0 for the first part, which there always is.
	Number int
	// Data is nil if the part has nothing to record any more.
	Data []byte
}

// SplitProgress makes the progress of a job be recorded in parts of so many tasks each; 0 makes it
// one part.
func (j *Job) SplitProgress(tasks int) { j.tasksPerPart = tasks }

// Parts returns one more than the highest number of a part that was read or written.
func (j *Job) Parts() int { return j.parts }

// MarshalProgress encodes all progress and the placements in one part.
func (j *Job) MarshalProgress() ([]byte, error) {
	whole := *j
	whole.tasksPerPart = 0
	data, err := proto.Marshal(whole.progressParts()[0])
	return data, errors.Wrap(err, "marshal the progress of the job")
}

// ChangedParts encodes the parts that differ from what was last returned or read.
func (j *Job) ChangedParts() ([]Part, error) {
	var changed []Part
	parts := j.progressParts()
	for number, m := range parts {
		data, err := proto.Marshal(m)
		if err != nil {
			return nil, errors.Wrap(err, "marshal the progress of the job")
		}
		if sum := xxhash.Sum64(data); j.written[number] != sum || sum == 0 {
			j.written[number] = sum
			changed = append(changed, Part{number, data})
		}
		j.parts = max(j.parts, number+1)
	}
	for number, sum := range j.written {
		if _, ok := parts[number]; !ok && sum != deletedPart {
			j.written[number] = deletedPart
			changed = append(changed, Part{Number: number})
		}
	}
	slices.SortFunc(changed, func(a, b Part) int { return a.Number - b.Number })
	return changed, nil
}

// PartsNotWritten makes the next ChangedParts return all parts, since the last ones may not have
// been recorded.
func (j *Job) PartsNotWritten() {
	for number := range j.written {
		j.written[number] = 0
	}
}

// deletedPart stands for the checksum of a part that has nothing to record any more.
const deletedPart = 1

// layout returns how many tasks an occurrence has and the number of the first one of each step.
func (j *Job) layout() (tasks int, first []int) {
	first = make([]int, len(j.Steps))
	for n := range j.Steps {
		first[n] = tasks
		tasks += j.Steps[n].Tasks
	}
	return tasks, first
}

// progressParts returns the parts that have something to record. Each task is always in the same
// part.
func (j *Job) progressParts() map[int]*wire.JobProgress {
	head := &wire.JobProgress{Failed: j.Failed, Pool: j.Pool}
	if !j.EndedAt.IsZero() {
		head.EndedMs = j.EndedAt.UnixMilli()
	}
	parts := map[int]*wire.JobProgress{0: head}
	tasks, first := j.layout()
	part := func(occurrence, task int) *wire.JobProgress {
		number := 0
		if j.tasksPerPart > 0 {
			number = (occurrence*tasks + task) / j.tasksPerPart
		}
		if parts[number] == nil {
			parts[number] = &wire.JobProgress{}
		}
		return parts[number]
	}
	for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
		o := j.occurrences[number]
		if o.Done {
			m := part(number, 0)
			m.Occurrences = append(m.Occurrences, &wire.OccurrenceProgress{Number: int32(number), Done: true}) //nolint:gosec // Bounded by job.MaxOccurrences.
			continue
		}
		for step := range o.Steps {
			o.addRanges(step, func(index int) *wire.JobProgress { return part(number, first[step]+index) })
		}
	}
	for _, p := range j.Placements {
		m := part(p.Task.Occurrence, first[p.Task.Step]+p.Task.Index)
		m.Placements = append(m.Placements, &wire.Placement{
			Occurrence: int32(p.Task.Occurrence), Step: int32(p.Task.Step), Index: int32(p.Task.Index), //nolint:gosec // Bounded by job.Job.Validate.
			Run: p.Run, Host: string(p.Host), Incarnation: int64(p.Incarnation), PlacedMs: p.PlacedAt.Milliseconds(),
		})
	}
	return parts
}

// addRanges adds the progress of a step's tasks to their parts, with one range in each.
func (o *Occurrence) addRanges(step int, part func(index int) *wire.JobProgress) {
	var open *wire.TaskRange
	var openPart *wire.JobProgress
	for index := range o.Steps[step].Tasks {
		t := &o.Steps[step].Tasks[index]
		if !t.hasProgress() {
			continue
		}
		if m := part(index); m != openPart {
			open = &wire.TaskRange{Occurrence: int32(o.Number), Step: int32(step), First: int32(index)} //nolint:gosec // Bounded by job.Job.Validate.
			m.Ranges, openPart = append(m.Ranges, open), m
		}
		t.addTo(open, index)
	}
}

func (t *Task) hasProgress() bool {
	return t.Done || len(t.FailedRuns) > 0 || len(t.CrashedRuns) > 0
}

// addTo adds the progress of a task to the range that it belongs to.
func (t *Task) addTo(m *wire.TaskRange, index int) {
	if t.Done {
		n := index - int(m.GetFirst())
		for len(m.GetDone()) <= n/8 {
			m.Done = append(m.Done, 0)
		}
		m.Done[n/8] |= 1 << (n % 8)
	}
	if len(t.FailedRuns) > 0 {
		m.Failures = append(m.Failures, &wire.TaskRuns{Index: int32(index), Runs: t.FailedRuns}) //nolint:gosec // Bounded by job.MaxTasks.
	}
	if len(t.CrashedRuns) > 0 {
		m.Crashes = append(m.Crashes, &wire.TaskRuns{Index: int32(index), Runs: t.CrashedRuns}) //nolint:gosec // Bounded by job.MaxTasks.
	}
}

// ApplyProgress merges the first part of the progress into the job, see ApplyParts.
func (j *Job) ApplyProgress(data []byte) error {
	return j.ApplyParts(map[int][]byte{0: data})
}

// ApplyParts merges the recorded parts of the progress into the job and replaces its pool and its
// placements by those of the records.
func (j *Job) ApplyParts(parts map[int][]byte) error {
	var all []*wire.JobProgress
	ended := time.Time{}
	for number, data := range parts {
		j.written[number], j.parts = 0, max(j.parts, number+1)
		m := &wire.JobProgress{}
		if err := proto.Unmarshal(data, m); err != nil {
			return errors.Wrapf(err, "unmarshal part %d of the job's progress", number)
		}
		all = append(all, m)
		if m.GetPool() != "" && m.GetPool() != j.Pool {
			taken := *j.Job
			taken.Pool = m.GetPool()
			j.Job = &taken
		}
		if m.GetEndedMs() != 0 {
			ended = time.UnixMilli(m.GetEndedMs())
		}
	}
	j.Placements = nil
	for _, m := range all {
		if err := j.applyPart(m, ended); err != nil {
			return err
		}
	}
	return nil
}

func (j *Job) applyPart(m *wire.JobProgress, ended time.Time) error {
	for _, o := range m.GetOccurrences() {
		if !j.HasTask(int(o.GetNumber()), 0, 0) || len(o.GetSteps()) > len(j.Steps) {
			return errors.Newf("progress of occurrence %d, which does not exist in the job", o.GetNumber())
		}
		j.applyOccurrence(o, ended)
	}
	for _, r := range m.GetRanges() {
		if err := j.applyRange(r, ended); err != nil {
			return err
		}
	}
	if m.GetFailed() && !j.Failed {
		j.Fail(ended)
	}
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

func (j *Job) applyRange(m *wire.TaskRange, ended time.Time) error {
	occurrence, step, first := int(m.GetOccurrence()), int(m.GetStep()), int(m.GetFirst())
	if !j.HasTask(occurrence, step, first) {
		return errors.Newf("progress of task %d of step %d in occurrence %d, which does not exist in the job", first, step, occurrence)
	}
	// Failures and crashes of an occurrence that is done are of no use.
	j.applyRuns(occurrence, step, m.GetFailures(), j.MarkFailed)
	j.applyRuns(occurrence, step, m.GetCrashes(), j.MarkCrashed)
	for n, bits := range m.GetDone() {
		for bit := range 8 {
			if index := first + 8*n + bit; bits&(1<<bit) != 0 && j.HasTask(occurrence, step, index) {
				j.MarkDone(occurrence, step, index, ended)
			}
		}
	}
	return nil
}

// applyRuns marks runs of tasks that exist in the job.
func (j *Job) applyRuns(occurrence, step int, all []*wire.TaskRuns, mark func(occurrence, step, index int, run int64) bool) {
	for _, runs := range all {
		if !j.HasTask(occurrence, step, int(runs.GetIndex())) {
			continue
		}
		for _, run := range runs.GetRuns() {
			mark(occurrence, step, int(runs.GetIndex()), run)
		}
	}
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
		j.applyRuns(number, step, s.GetFailures(), j.MarkFailed)
		j.applyRuns(number, step, s.GetCrashes(), j.MarkCrashed)
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
