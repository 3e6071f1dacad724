package job

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Marshal encodes a job as the value of a log record.
func (j *Job) Marshal() ([]byte, error) {
	m := &wire.Job{
		Id: string(j.ID), Queue: j.Queue, QueueAddress: j.QueueAddress, ConfigVersion: j.ConfigVersion, Pool: j.Pool, Spec: j.Spec,
		AcceptedMs: j.AcceptedAt.UnixMilli(), Priority: int32(j.Priority), MaxAttempts: int32(j.MaxAttempts), //nolint:gosec // Validated.
		Stretch: j.Stretch, LatencyTargetMs: j.LatencyTarget.Milliseconds(),
		Occurrences: int32(j.Occurrences), IntervalMs: j.Interval.Milliseconds(), NeedsAdvice: j.NeedsPlacementCheck, Organisation: j.Organisation, //nolint:gosec // Validated.
	}
	if j.Occurrences > 0 {
		m.FirstMs = j.FirstAt.UnixMilli()
	}
	for n := range j.Steps {
		m.Steps = append(m.Steps, stepToProto(&j.Steps[n]))
	}
	data, err := proto.Marshal(m)
	return data, errors.Wrap(err, "marshal the job")
}

func stepToProto(s *Step) *wire.JobStep {
	m := &wire.JobStep{
		Tasks: int32(s.Tasks), Cpu: int32(s.Needs.CPU), MemoryMb: int32(s.Needs.MemoryMB), //nolint:gosec // Validated.
		Accelerators: int32(s.Needs.Accelerators), EstimateMs: s.Estimate.Milliseconds(), //nolint:gosec // Validated.
		SavesProgress: s.SavesProgress, Gang: s.Gang, OneRack: s.OneRack, RequiredLabel: s.RequiredLabel,
		DataRack: s.DataRack, MaxPerHost: int32(s.MaxPerHost), Speculative: s.Speculative, //nolint:gosec // Validated.
		LongRunning: s.LongRunning, Image: s.Image, TailTargetMs: s.TailTarget.Milliseconds(),
		BestEffort: s.BestEffort, MaxUnavailable: int32(s.MaxUnavailable), //nolint:gosec // Validated.
	}
	for _, dependency := range s.DependsOn {
		m.DependsOn = append(m.DependsOn, int32(dependency)) //nolint:gosec // Validated.
	}
	return m
}

// Unmarshal decodes and validates a job from the value of a log record.
func Unmarshal(data []byte) (*Job, error) {
	m := &wire.Job{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "read the job")
	}
	j := &Job{
		ID: ID(m.GetId()), Queue: m.GetQueue(), QueueAddress: m.GetQueueAddress(), ConfigVersion: m.GetConfigVersion(),
		Pool: m.GetPool(), Spec: m.GetSpec(),
		AcceptedAt: time.UnixMilli(m.GetAcceptedMs()), Priority: int(m.GetPriority()), MaxAttempts: int(m.GetMaxAttempts()),
		Stretch: m.GetStretch(), LatencyTarget: time.Duration(m.GetLatencyTargetMs()) * time.Millisecond,
		Occurrences: int(m.GetOccurrences()), Interval: time.Duration(m.GetIntervalMs()) * time.Millisecond,
		NeedsPlacementCheck: m.GetNeedsAdvice(), Organisation: m.GetOrganisation(),
	}
	if j.Occurrences > 0 {
		j.FirstAt = time.UnixMilli(m.GetFirstMs())
	}
	for _, s := range m.GetSteps() {
		j.Steps = append(j.Steps, stepFromProto(s))
	}
	return j, j.Validate()
}

func stepFromProto(m *wire.JobStep) Step {
	s := Step{
		Tasks: int(m.GetTasks()),
		Needs: worker.Resources{
			CPU: int64(m.GetCpu()), MemoryMB: int64(m.GetMemoryMb()), Accelerators: int64(m.GetAccelerators()),
		},
		Estimate:      time.Duration(m.GetEstimateMs()) * time.Millisecond,
		SavesProgress: m.GetSavesProgress(), Gang: m.GetGang(), OneRack: m.GetOneRack(),
		RequiredLabel: m.GetRequiredLabel(), DataRack: m.GetDataRack(), MaxPerHost: int(m.GetMaxPerHost()),
		Speculative: m.GetSpeculative(), LongRunning: m.GetLongRunning(), Image: m.GetImage(),
		TailTarget: time.Duration(m.GetTailTargetMs()) * time.Millisecond,
		BestEffort: m.GetBestEffort(), MaxUnavailable: int(m.GetMaxUnavailable()),
	}
	for _, dependency := range m.GetDependsOn() {
		s.DependsOn = append(s.DependsOn, int(dependency))
	}
	return s
}
