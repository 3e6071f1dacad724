// Package jobhost puts one entry host for jobs together: it feeds events into the
// schedulers of the pools that it owns, carries their orders out, and answers callers.
package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Log is the platform's log. The errors of its appends carry a verdict: NotRun
// only if nothing was added and nothing will be.
type Log interface {
	Append(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, producer *keyedlog.Producer) error
	// Read waits up to wait for a record; it fails with keyedlog.ErrTrimmed when the
	// records from there on are not all kept.
	Read(ctx context.Context, partition keyedlog.Partition, from int64, wait time.Duration) (keyedlog.Batch, error)
	// Newest gives the newest record of each key, and the offset to read on from.
	Newest(ctx context.Context, partition keyedlog.Partition) (keyedlog.Batch, error)
	Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Membership, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) ([]keyedlog.Owner, error)
}

// Workers carries orders to workers. A start's error carries a verdict.
type Workers interface {
	Start(ctx context.Context, target worker.Target, order worker.StartOrder) (worker.StartReply, error)
	Stop(ctx context.Context, target worker.Target, order worker.StopOrder) error
	Hold(ctx context.Context, target worker.Target, order worker.HoldOrder) (worker.HoldReply, error)
	Pace(ctx context.Context, target worker.Target, order worker.PaceOrder) error
}

// Machines lists machines, moves them and takes them down for maintenance.
type Machines interface {
	List(ctx context.Context) ([]machine.Machine, error)
	Move(ctx context.Context, holder machine.Holder, name, pool string) (machine.Outcome, error)
	Maintain(ctx context.Context, holder machine.Holder, name string, wave int64) (machine.Outcome, error)
}

// Advice tells which workers may run a step, with a ticket for each.
type Advice interface {
	Advise(ctx context.Context, step worker.TaskName, workers []worker.ID) (map[worker.ID]string, time.Duration, error)
}

// Published is what operators and workers publish in topics of the log, read by the
// adapter that knows its form.
type Published interface {
	// Operators is where configurations and waves are published.
	Operators() keyedlog.Partition
	// Hosts is where workers report.
	Hosts() keyedlog.Partition
	// Status is where the progress of waves is reported.
	Status() keyedlog.Partition
	// Configuration reads a record of Operators; nil if it is something else.
	Configuration(record keyedlog.Record) (*queue.Configuration, error)
	// Wave reads a record of Operators; nil if it is something else.
	Wave(record keyedlog.Record) (*machine.Wave, error)
	// Report reads a record of Hosts.
	Report(record keyedlog.Record) (worker.Report, error)
	// WaveStatus writes a record for Status.
	WaveStatus(number int64, done bool) (keyedlog.Record, error)
}

// Platform is all that an entry host needs of the platform.
type Platform struct {
	Log       Log
	Workers   Workers
	Machines  Machines
	Advice    Advice
	Published Published
}

// Events takes one line for each decision.
type Events interface {
	Event(name string, pairs ...any)
}
