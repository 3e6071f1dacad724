// Package job holds submissions of work: jobs of steps of tasks.
package job

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// ID is chosen by the caller; the same ID again is the same job.
type ID string

// State is what a caller is told of a job.
type State string

// The states of a job.
const (
	Queued  State = "queued"
	Running State = "running"
	// Done means that all tasks have ended well and that this is recorded.
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended tells whether nothing more will run.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Step is a set of like tasks.
type Step struct {
	Tasks int
	// Needs of one task.
	Needs    worker.Resources
	Estimate time.Duration
	// DependsOn lists earlier steps that must be done first.
	DependsOn     []int
	SavesProgress bool
	// Gang tasks work only together and end together.
	Gang bool
	// OneRack tasks take longer on more than one rack.
	OneRack       bool
	RequiredLabel string
	// DataRack is where the step's data lies; elsewhere it takes longer.
	DataRack string
	// MaxPerHost bounds the step's tasks on one host; 0 is no bound.
	MaxPerHost int
	// Speculative tasks may run as parallel copies.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// TailTarget bounds the tail latency of a task that serves; 0 is no bound.
	TailTarget time.Duration
	// BestEffort tasks take the capacity that others leave unused.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step may be unavailable at
	// once by the system's own actions; 0 is no bound.
	MaxUnavailable int
}

// Reserved is what a task takes of its host's capacity.
func (s *Step) Reserved() worker.Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.CPU = 0
	}
	return needs
}

// Job is one submission, with what its queue said when it was accepted.
type Job struct {
	ID            ID
	Queue         string
	Pool          string
	Spec          string
	Steps         []Step
	AcceptedAt    time.Time
	Priority      int
	MaxAttempts   int
	Stretch       float64
	LatencyTarget time.Duration
	// Occurrences is 0 for a job that runs once.
	Occurrences int
	FirstAt     time.Time
	Interval    time.Duration
	NeedsAdvice bool
}

// Runs tells how often the steps run.
func (j *Job) Runs() int { return max(1, j.Occurrences) }

// DueAt is when an occurrence may start.
func (j *Job) DueAt(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Interval)
}

// Chain is the longest chain of the steps' estimates from each step on, that step included.
func (j *Job) Chain() []time.Duration {
	chain := make([]time.Duration, len(j.Steps))
	for n := len(j.Steps) - 1; n >= 0; n-- {
		chain[n] += j.Steps[n].Estimate
		for _, earlier := range j.Steps[n].DependsOn {
			chain[earlier] = max(chain[earlier], chain[n])
		}
	}
	return chain
}
