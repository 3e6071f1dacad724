// Package jobapi defines the messages of hornbeammast's own HTTP interface for jobs.
package jobapi

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Submission is the body of a caller's request to submit a job.
type Submission struct {
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Occurrences is how often the steps run; 0 means once, as soon as possible.
	Occurrences int            `json:"occurrences,omitempty"`
	FirstAt     time.Time      `json:"first-at,omitzero"`
	Interval    fleet.Duration `json:"interval,omitempty"`
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int `json:"tasks"`
	// Millicores is the CPU that one task needs, in thousandths of a core.
	Millicores     int64          `json:"millicores,omitempty"`
	MemoryMB       int64          `json:"memory-mb,omitempty"`
	Accelerators   int64          `json:"accelerators,omitempty"`
	Estimate       fleet.Duration `json:"estimate,omitempty"`
	DependsOn      []int          `json:"depends-on,omitempty"`
	SavesProgress  bool           `json:"saves-progress,omitempty"`
	Gang           bool           `json:"gang,omitempty"`
	OneRack        bool           `json:"one-rack,omitempty"`
	RequiredLabel  string         `json:"required-label,omitempty"`
	DataRack       string         `json:"data-rack,omitempty"`
	MaxPerHost     int            `json:"max-per-host,omitempty"`
	Speculative    bool           `json:"speculative,omitempty"`
	LongRunning    bool           `json:"long-running,omitempty"`
	Image          string         `json:"image,omitempty"`
	TailTarget     fleet.Duration `json:"tail-target,omitempty"`
	BestEffort     bool           `json:"best-effort,omitempty"`
	MaxUnavailable int            `json:"max-unavailable,omitempty"`
}

// StateReply is the state of a job.
type StateReply struct {
	State job.State `json:"state"`
}

// WaitingReply is the number of jobs of a queue of which nothing has started.
type WaitingReply struct {
	Waiting int `json:"waiting"`
}

// Problem is the body of an error response: why the request failed, and the verdict on
// whether it may have run.
type Problem struct {
	Verdict string `json:"verdict"`
	Message string `json:"message"`
}

// Parse decodes a submission; unknown keys are an error.
func Parse(data []byte) (*Submission, error) {
	s := &Submission{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "read the job")
	}
	return s, nil
}

// Job returns the submission as a job with an ID.
func (s *Submission) Job(id string) *job.Job {
	j := &job.Job{ID: job.ID(id), Spec: s.Spec, Occurrences: s.Occurrences, FirstAt: s.FirstAt, Interval: s.Interval.Std()}
	for n := range s.Steps {
		t := &s.Steps[n]
		j.Steps = append(j.Steps, job.Step{
			Tasks: t.Tasks, Needs: worker.Resources{CPU: t.Millicores, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
			Estimate: t.Estimate.Std(), DependsOn: t.DependsOn, SavesProgress: t.SavesProgress, Gang: t.Gang, OneRack: t.OneRack,
			RequiredLabel: t.RequiredLabel, DataRack: t.DataRack, MaxPerHost: t.MaxPerHost, Speculative: t.Speculative,
			LongRunning: t.LongRunning, Image: t.Image, TailTarget: t.TailTarget.Std(), BestEffort: t.BestEffort,
			MaxUnavailable: t.MaxUnavailable,
		})
	}
	return j
}
