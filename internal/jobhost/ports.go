// Package jobhost assembles an entry host for jobs: it feeds events into the schedulers of
// the pools that it owns, carries out their orders, and serves callers and peers.
package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Log is the client of the platform's log. Errors of Append carry a verdict, which is
// NotRun only if the records were not added and will not be added later.
type Log interface {
	Append(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) error
	// Read returns records from an offset on and waits up to wait for the first one. It
	// fails with keyedlog.ErrTrimmed if some of them are no longer kept.
	Read(ctx context.Context, partition keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error)
	// Newest returns the newest records of the keys that follow the given one.
	Newest(ctx context.Context, partition keyedlog.Partition, after string) (keyedlog.Page, error)
	Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Assignment, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]keyedlog.Owner, error)
}

// Workers sends orders to workers. Errors of Start carry a verdict.
type Workers interface {
	Start(ctx context.Context, target worker.Target, order worker.StartOrder) (worker.StartReply, error)
	Stop(ctx context.Context, target worker.Target, order worker.StopOrder) error
	RenewLease(ctx context.Context, target worker.Target, order worker.RenewalOrder) (worker.RenewalReply, error)
	Throttle(ctx context.Context, target worker.Target, order worker.ThrottleOrder) error
}

// Machines lists machines, moves them and takes them down for maintenance.
type Machines interface {
	List(ctx context.Context) ([]machine.Machine, error)
	Move(ctx context.Context, holder machine.Holder, name, pool string) (machine.Outcome, error)
	Maintain(ctx context.Context, holder machine.Holder, name string, wave int64) (machine.Outcome, error)
}

// PlacementChecker is the client of the placement-check service: it returns the workers
// that may run a step, with a ticket for each, and how long the result is valid.
type PlacementChecker interface {
	Tickets(ctx context.Context, step worker.TaskName, workers []worker.ID) (map[worker.ID]string, time.Duration, error)
}

// RecordCodec decodes and encodes the records that operators, workers and entry hosts
// publish in topics of the log; the platform's adapter knows their format.
type RecordCodec interface {
	// OperatorPartition is the partition in which configurations and waves are published.
	OperatorPartition() keyedlog.Partition
	// WorkerPartition is the partition in which workers publish their reports.
	WorkerPartition() keyedlog.Partition
	// WaveStatusPartition is the partition to which the progress of waves is written.
	WaveStatusPartition() keyedlog.Partition
	// Configuration decodes a record of OperatorPartition; nil if it is not a
	// configuration.
	Configuration(record keyedlog.Record) (*queue.Configuration, error)
	// WithoutKeys returns a configuration's record with the digests of keys in place of the keys.
	WithoutKeys(record keyedlog.Record, c *queue.Configuration) keyedlog.Record
	// Wave decodes a record of OperatorPartition; nil if it is not a wave.
	Wave(record keyedlog.Record) (*machine.Wave, error)
	// Report decodes a record of WorkerPartition.
	Report(record keyedlog.Record) (worker.Report, error)
	// WaveStatus encodes a record for WaveStatusPartition.
	WaveStatus(number int64, done bool) (keyedlog.Record, error)
}

// Platform groups the platform's services that an entry host uses.
type Platform struct {
	Log       Log
	Workers   Workers
	Machines  Machines
	Placement PlacementChecker
	Records   RecordCodec
}

// Events logs one structured line per decision.
type Events interface {
	Event(name string, pairs ...any)
}
