// Package job defines submitted jobs: a job has steps, and a step has tasks.
package job

import (
	"reflect"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// ID identifies a job. The caller chooses it; a second submission with the same ID is the
// same job.
type ID string

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued  State = "queued"
	Running State = "running"
	// Done means that all tasks have succeeded and that this is recorded in the log.
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Step is a set of identical tasks.
type Step struct {
	Tasks int
	// Needs are the resources that one task needs.
	Needs    worker.Resources
	Estimate time.Duration
	// DependsOn lists dependency steps that must be done first.
	DependsOn     []int
	SavesProgress bool
	// Gang tasks run only while all tasks of the step do, and end together.
	Gang bool
	// OneRack tasks take longer if they are spread over more than one rack.
	OneRack       bool
	RequiredLabel string
	// DataRack is the rack that holds the step's data; tasks take longer on other racks.
	DataRack string
	// MaxPerHost bounds the step's tasks on one host; 0 sets no bound.
	MaxPerHost int
	// Speculative tasks may have several runs at the same time.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// TailTarget bounds the tail latency of a task that serves requests; 0 sets no bound.
	TailTarget time.Duration
	// BestEffort tasks reserve no CPU; they use what other tasks leave idle.
	BestEffort bool
	// MaxUnavailable bounds the tasks of a long-running step that the system's own
	// actions may make unavailable at the same time; 0 sets no bound.
	MaxUnavailable int
}

// Reserved returns the resources that a task reserves on its host.
func (s *Step) Reserved() worker.Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.CPU = 0
	}
	return needs
}

// Job is a submission with the settings of its queue at the time it was accepted.
type Job struct {
	ID    ID
	Queue string
	// QueueAddress identifies the queue across configurations, see queue.Queue.Address.
	QueueAddress string
	// ConfigVersion is the version of the configuration by which the job was accepted, and which
	// sends the queue to Pool.
	ConfigVersion int64
	Pool          string
	Spec          string
	Steps         []Step
	AcceptedAt    time.Time
	Priority      int
	MaxAttempts   int
	Stretch       float64
	LatencyTarget time.Duration
	// Occurrences is 0 for a job that runs once.
	Occurrences         int
	FirstAt             time.Time
	Interval            time.Duration
	NeedsPlacementCheck bool
	// Organisation is the name of the organisation that submitted the job, or empty.
	Organisation string
}

// SameWork reports whether two submissions ask for the same work in the same pool.
func (j *Job) SameWork(o *Job) bool {
	return j.Pool == o.Pool && j.Spec == o.Spec && j.Occurrences == o.Occurrences && j.FirstAt.Equal(o.FirstAt) &&
		j.Interval == o.Interval && reflect.DeepEqual(j.Steps, o.Steps)
}

// OccurrenceCount returns the number of occurrences: how often the steps run.
func (j *Job) OccurrenceCount() int { return max(1, j.Occurrences) }

// EarliestStart returns the earliest time at which an occurrence may start.
func (j *Job) EarliestStart(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	if occurrence > 0 && j.Interval > maxTime/time.Duration(occurrence) {
		return j.FirstAt.Add(maxTime)
	}
	return j.FirstAt.Add(time.Duration(occurrence) * j.Interval)
}

// DueOccurrences returns how many occurrences may start by now; these are the first ones.
func (j *Job) DueOccurrences(now time.Time) int {
	passed := now.Sub(j.EarliestStart(0))
	switch {
	case passed < 0:
		return 0
	case j.Occurrences == 0 || j.Interval == 0 || passed >= maxTime:
		return j.OccurrenceCount()
	default:
		return int(min(int64(passed/j.Interval)+1, int64(j.OccurrenceCount())))
	}
}

// CriticalPaths returns for each step the length of the critical path from that step to the end
// of the job: the largest sum of estimates along a chain of dependent steps, that step
// included.
func (j *Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for n := len(j.Steps) - 1; n >= 0; n-- {
		paths[n] += j.Steps[n].Estimate
		for _, dependency := range j.Steps[n].DependsOn {
			paths[dependency] = max(paths[dependency], paths[n])
		}
	}
	return paths
}
