package job

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds on a submission, which keep a single caller from exhausting an entry host.
const (
	// MaxSpecBytes bounds the spec; the interface for callers fixes it.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 256
	// MaxTasks bounds the tasks of all steps of a job together.
	MaxTasks = 10_000_000
	// MaxOccurrences bounds the occurrences of a job.
	MaxOccurrences = 10_000_000
	// maxResource bounds each resource that a task may ask for, in the units of
	// worker.Resources.
	maxResource = 1 << 30
	// idDigits is the number of hexadecimal digits of an ID.
	idDigits = 16
)

// ValidID reports whether id consists of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

const (
	// maxTime is the longest time between occurrences, and from the first to the last one; no job
	// lives that long.
	maxTime = 100 * 365 * 24 * time.Hour
	// maxTaskTime is the longest time of a task. Chains of tasks must not overflow.
	maxTaskTime = 30 * 24 * time.Hour
	// maxCount is the largest number that a record holds.
	maxCount = math.MaxInt32
)

// Limit replaces values that are larger than any that makes a difference by the largest that does
// not, so that they fit the record of the job.
func (j *Job) Limit() {
	j.Priority, j.MaxAttempts = min(j.Priority, maxCount), min(j.MaxAttempts, maxCount)
	j.LatencyTarget, j.Interval = min(j.LatencyTarget, maxTaskTime), min(j.Interval, maxTime)
	for n := range j.Steps {
		s := &j.Steps[n]
		s.Estimate, s.TailTarget = min(s.Estimate, maxTaskTime), min(s.TailTarget, maxTaskTime)
		s.MaxPerHost, s.MaxUnavailable = min(s.MaxPerHost, MaxTasks), min(s.MaxUnavailable, MaxTasks)
	}
}

// Validate returns an error for the first invalid value of a submission.
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
		return errors.Newf("%d tasks; use 1 to %d", s.Tasks, MaxTasks)
	}
	if max(s.Needs.CPU, s.Needs.MemoryMB, s.Needs.Accelerators) > maxResource {
		return errors.Newf("a task asks for more than %d of a resource", maxResource)
	}
	if s.Needs.CPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 || s.Estimate < 0 {
		return errors.New("the resources and the estimate of a task must not be negative")
	}
	if s.MaxPerHost < 0 || s.MaxUnavailable < 0 || s.TailTarget < 0 {
		return errors.New("the bounds on tasks per host, unavailable tasks and tail latency must not be negative")
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= number {
			return errors.Newf("depends on step %d; name earlier steps only, counted from 0", dependency)
		}
	}
	return nil
}
