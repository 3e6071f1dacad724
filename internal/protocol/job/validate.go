package job

import (
	"github.com/cockroachdb/errors"
)

// Bounds on a submission, so that one caller can't exhaust an entry host.
const (
	// MaxSpecBytes is the largest spec, from the callers' contract.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
	// MaxTasks bounds the tasks of a job, over all its steps.
	MaxTasks = 10_000
	// MaxOccurrences bounds how often a job runs.
	MaxOccurrences = 10_000
	// maxNeed bounds what a task may ask for, in the units of worker.Resources.
	maxNeed = 1 << 30
	// idLength is the number of hexadecimal digits of an ID.
	idLength = 16
)

// ValidID tells whether id is 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Validate says what is wrong with a submission.
func (j *Job) Validate() error {
	if !ValidID(string(j.ID)) {
		return errors.Newf("id %q: use 16 hexadecimal digits", j.ID)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Newf("spec has %d bytes; use at most %d", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Newf("%d steps; use 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.Occurrences < 0 || j.Occurrences > MaxOccurrences || j.Interval < 0 {
		return errors.Newf("occurrences must be 0 to %d and their interval not negative", MaxOccurrences)
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.Steps[n].validate(n); err != nil {
			return errors.Wrapf(err, "step %d", n)
		}
		tasks += j.Steps[n].Tasks
	}
	if tasks > MaxTasks {
		return errors.Newf("%d tasks; use at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Newf("count is %d; use 1 to %d", s.Tasks, MaxTasks)
	}
	if max(s.Needs.CPU, s.Needs.MemoryMB, s.Needs.Accelerators) > maxNeed {
		return errors.Newf("a task needs more than %d of something", maxNeed)
	}
	if s.Needs.CPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("what a task needs must not be negative")
	}
	if s.MaxPerHost < 0 || s.MaxUnavailable < 0 || s.TailTarget < 0 {
		return errors.New("bounds must not be negative")
	}
	for _, earlier := range s.DependsOn {
		if earlier < 0 || earlier >= number {
			return errors.Newf("depends on step %d; name earlier steps only, counted from 0", earlier)
		}
	}
	return nil
}
