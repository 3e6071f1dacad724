package schedule

import "time"

// Limits are the bounds that the platform sets and those that follow from them.
type Limits struct {
	// Lease is how long a host may run on without hearing from the owner.
	Lease time.Duration
	// MaxLease is the longest lease that a host grants; any longer is shortened.
	MaxLease time.Duration
	// MaxUnconfirmed is how long an owner acts after the log last confirmed it.
	MaxUnconfirmed time.Duration
	// HoldWait is how long a host may wait with its answer for a run to end.
	HoldWait time.Duration
	// CheckpointEvery is the work between two checkpoints.
	CheckpointEvery time.Duration
	// FarFactor is how much longer a task takes away from its data.
	FarFactor float64
	// NoticeTime is how long a replacement of a long-running task must have been at
	// work before it counts as available.
	NoticeTime time.Duration
	// KeepEnded is how long the state of an ended job may be asked for.
	KeepEnded time.Duration
}

// leaseSpan is how long a lease may last on the slowest clock allowed.
func (l *Limits) leaseSpan() time.Duration {
	longest := min(l.Lease, l.MaxLease)
	return time.Duration(float64(longest)/(1-clockDrift)) + leaseSlack
}

const (
	// clockDrift is how much slower than ours a host's clock may run, from the
	// workers' contract.
	clockDrift = 0.02
	// leaseSlack covers the rounding of clocks and timers when a lease runs out.
	leaseSlack = 150 * time.Millisecond
	// unhealthyPause is how long nothing is sent to a host that refused as unhealthy.
	unhealthyPause = 400 * time.Millisecond
	// roomPause is how long nothing is sent to a host that has less room than known.
	roomPause = 250 * time.Millisecond
	// foreignPatience is how long a run of a job that is not known yet may go on; the
	// record of the job reaches a new owner well before.
	foreignPatience = 2 * time.Second
	// unsurePatience is how long a start without an answer is left to show up among
	// what runs before it is stopped.
	unsurePatience = 20 * time.Millisecond
	// stopRetry is the time after which a stop without an effect is sent again.
	stopRetry = 700 * time.Millisecond
	// desertedAfter is how long a host must be silent before its tasks are copied; a
	// lost call or two take less.
	desertedAfter = 2500 * time.Millisecond
	// stopPatience is how long after its answer a stop may take; then it is sent again.
	stopPatience = 2 * time.Second
	// maxStartsPerHost bounds the starts in flight to one host; more only queue there.
	maxStartsPerHost = 8
	// runsPerFence is the room for run numbers of one fencing token, in bits.
	runsPerFence = 16
	// suspectFailures is how many runs in a row must fail on a host, of different
	// jobs, before it is suspected; the first few may be the jobs' own fault.
	suspectFailures = 3
	// suspectPause is how long a suspected host gets a single run at a time.
	suspectPause = 6 * time.Second
	// hangFactor times the longest estimate is how long a run may last before its
	// host is thought to hang; estimates are rough.
	hangFactor = 4
	// hangFloor is the least time before a run is thought to hang.
	hangFloor = 3 * time.Second
	// lateFactor times the objective is the time after which a job earns nothing.
	lateFactor = 3
)
