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

// progressParts is how the progress of a job is divided into records.
type progressParts struct {
	// tasks is how many tasks a part covers, 0 for all.
	tasks int
	// written holds a checksum of each part that may be in the log, 0 if it is to be written again.
	written map[int]uint64
	// changed holds the parts to be encoded again, placed those that had placements when they last
	// were, and taken those last returned by ChangedParts.
	changed, placed map[int]struct{}
	taken           []Part
}

func newProgressParts() progressParts {
	return progressParts{written: map[int]uint64{}, changed: map[int]struct{}{}, placed: map[int]struct{}{}}
}

// SplitProgress makes the progress of a job be recorded in parts of so many tasks each; 0 makes it
// one part.
func (j *Job) SplitProgress(tasks int) {
	j.parts.tasks = tasks
	for p := range j.done.within(span{0, j.OccurrenceCount()}) {
		for number := p.first; number < p.end; number++ {
			j.partChanged(j.part(number, 0))
		}
	}
	for number := range j.begun {
		j.occurrenceChanged(number)
	}
}

// Parts returns the numbers of the parts that may be in the log, at least 0.
func (j *Job) Parts() []int {
	numbers := []int{0}
	for number, sum := range j.parts.written {
		if number > 0 && sum != deletedPart {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// tasksOfOccurrence returns how many tasks an occurrence has.
func (j *Job) tasksOfOccurrence() int { return j.firstTask(len(j.Steps)) }

// firstTask returns the number of the first task of a step among those of an occurrence.
func (j *Job) firstTask(step int) int {
	first := 0
	for n := range step {
		first += j.Steps[n].Tasks
	}
	return first
}

// part returns the part that a task is always in, by its number among those of its occurrence.
func (j *Job) part(occurrence, task int) int {
	if j.parts.tasks == 0 {
		return 0
	}
	return (occurrence*j.tasksOfOccurrence() + task) / j.parts.tasks
}

func (j *Job) partChanged(part int) { j.parts.changed[part] = struct{}{} }

func (j *Job) taskChanged(occurrence, step, index int) {
	j.partChanged(j.part(occurrence, j.firstTask(step)+index))
}

func (j *Job) occurrenceChanged(number int) {
	for part := j.part(number, 0); part <= j.part(number, j.tasksOfOccurrence()-1); part++ {
		j.partChanged(part)
	}
}

// MarshalProgress encodes all progress and the placements in one part.
func (j *Job) MarshalProgress() ([]byte, error) {
	whole := *j
	whole.parts.tasks = 0
	data, err := proto.Marshal(whole.encodePart(0, j.Placements))
	return data, errors.Wrap(err, "marshal the progress of the job")
}

// ChangedParts encodes the parts that differ from what was last returned or read.
func (j *Job) ChangedParts() ([]Part, error) {
	placements := map[int][]Placement{}
	for _, p := range j.Placements {
		part := j.part(p.Task.Occurrence, j.firstTask(p.Task.Step)+p.Task.Index)
		placements[part] = append(placements[part], p)
	}
	// The first part may have changed in what is no progress of tasks.
	j.partChanged(0)
	for part := range j.parts.placed {
		j.partChanged(part)
	}
	clear(j.parts.placed)
	for part := range placements {
		j.partChanged(part)
		j.parts.placed[part] = struct{}{}
	}
	j.parts.taken = nil
	for _, number := range slices.Sorted(maps.Keys(j.parts.changed)) {
		part, changed, err := j.changedPart(number, placements[number])
		if err != nil {
			return nil, err
		}
		if changed {
			j.parts.taken = append(j.parts.taken, part)
		}
	}
	clear(j.parts.changed)
	return j.parts.taken, nil
}

// changedPart encodes a part and reports whether it has to be written.
func (j *Job) changedPart(number int, placements []Placement) (Part, bool, error) {
	sum, written := j.parts.written[number]
	m := j.encodePart(number, placements)
	if number > 0 && len(m.GetOccurrences())+len(m.GetRanges())+len(m.GetPlacements()) == 0 {
		if !written || sum == deletedPart {
			return Part{}, false, nil
		}
		j.parts.written[number] = deletedPart
		return Part{Number: number}, true, nil
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return Part{}, false, errors.Wrap(err, "marshal the progress of the job")
	}
	next := xxhash.Sum64(data)
	if written && sum == next && sum > deletedPart {
		return Part{}, false, nil
	}
	j.parts.written[number] = next
	return Part{number, data}, true, nil
}

// PartsNotWritten makes the next ChangedParts return those of the last one again, since they may
// not have been recorded.
func (j *Job) PartsNotWritten() {
	for _, part := range j.parts.taken {
		j.parts.written[part.Number] = 0
		j.partChanged(part.Number)
	}
}

// deletedPart stands for the checksum of a part that has nothing to record any more.
const deletedPart = 1

// encodePart returns the record of a part with its placements. Its occurrences and ranges are in
// ascending order.
func (j *Job) encodePart(number int, placements []Placement) *wire.JobProgress {
	m := &wire.JobProgress{}
	if number == 0 {
		m.Failed, m.Pool = j.Failed, j.Pool
		if !j.EndedAt.IsZero() {
			m.EndedMs = j.EndedAt.UnixMilli()
		}
	}
	tasks := j.tasksOfOccurrence()
	bounds := span{0, tasks * j.OccurrenceCount()}
	if j.parts.tasks > 0 {
		bounds = span{number * j.parts.tasks, (number + 1) * j.parts.tasks}
	}
	// An occurrence that is done is recorded where its first task is.
	for p := range j.done.within(span{(bounds.first + tasks - 1) / tasks, (bounds.end + tasks - 1) / tasks}) {
		for done := p.first; done < p.end; done++ {
			m.Occurrences = append(m.Occurrences, &wire.OccurrenceProgress{Number: int32(done), Done: true}) //nolint:gosec // Bounded by job.MaxOccurrences.
		}
	}
	for _, begun := range j.begunWithin(span{bounds.first / tasks, (bounds.end-1)/tasks + 1}) {
		first := begun * tasks
		for step := range j.Steps {
			covered := span{max(0, bounds.first-first), min(j.Steps[step].Tasks, bounds.end-first)}
			if r := j.begun[begun].steps[step].encode(covered); r != nil {
				r.Occurrence, r.Step = int32(begun), int32(step) //nolint:gosec // Bounded by job.Job.Validate.
				m.Ranges = append(m.Ranges, r)
			}
			first += j.Steps[step].Tasks
		}
	}
	for _, p := range placements {
		m.Placements = append(m.Placements, &wire.Placement{
			Occurrence: int32(p.Task.Occurrence), Step: int32(p.Task.Step), Index: int32(p.Task.Index), //nolint:gosec // Bounded by job.Job.Validate.
			Run: p.Run, Host: string(p.Host), Incarnation: int64(p.Incarnation), PlacedMs: p.PlacedAt.Milliseconds(),
		})
	}
	return m
}

// begunWithin returns the begun occurrences within bounds, in ascending order.
func (j *Job) begunWithin(bounds span) []int {
	var numbers []int
	if bounds.end-bounds.first < len(j.begun) {
		for number := bounds.first; number < bounds.end; number++ {
			if _, ok := j.begun[number]; ok {
				numbers = append(numbers, number)
			}
		}
		return numbers
	}
	for number := range j.begun {
		if number >= bounds.first && number < bounds.end {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// encode returns the progress of the tasks within bounds, or nil if there is none.
func (s *step) encode(bounds span) *wire.TaskRange {
	if bounds.first >= bounds.end {
		return nil
	}
	var failing []int
	for index := range s.failing {
		if index >= bounds.first && index < bounds.end {
			failing = append(failing, index)
		}
	}
	slices.Sort(failing)
	first := bounds.end
	if len(failing) > 0 {
		first = failing[0]
	}
	for p := range s.done.within(bounds) {
		first = min(first, p.first)
		break
	}
	if first == bounds.end {
		return nil
	}
	m := &wire.TaskRange{First: int32(first)} //nolint:gosec // Bounded by job.MaxTasks.
	for p := range s.done.within(bounds) {
		for n := p.first - first; n < p.end-first; n++ {
			for len(m.GetDone()) <= n/8 {
				m.Done = append(m.Done, 0)
			}
			m.Done[n/8] |= 1 << (n % 8)
		}
	}
	for _, index := range failing {
		t := s.failing[index]
		if len(t.failed) > 0 {
			m.Failures = append(m.Failures, &wire.TaskRuns{Index: int32(index), Runs: t.failed}) //nolint:gosec // Bounded by job.MaxTasks.
		}
		if len(t.crashed) > 0 {
			m.Crashes = append(m.Crashes, &wire.TaskRuns{Index: int32(index), Runs: t.crashed}) //nolint:gosec // Bounded by job.MaxTasks.
		}
	}
	return m
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
		j.parts.written[number] = 0
		j.partChanged(number)
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
	if m.GetDone() {
		j.markOccurrenceDone(number, ended)
		return
	}
	for step, s := range m.GetSteps() {
		for index := range min(j.Steps[step].Tasks, 8*len(s.GetDone())) {
			if s.GetDone()[index/8]&(1<<(index%8)) != 0 {
				j.MarkDone(number, step, index, ended)
			}
		}
		j.applyRuns(number, step, s.GetFailures(), j.MarkFailed)
		j.applyRuns(number, step, s.GetCrashes(), j.MarkCrashed)
	}
}
