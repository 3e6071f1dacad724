package schedule

import "time"

// Limits are the times and factors that the platform sets, and those derived from them.
type Limits struct {
	// Lease is how long a host keeps its runs without a renewal from the owner.
	Lease time.Duration
	// MaxLease is the longest lease that a host grants; it shortens longer ones.
	MaxLease time.Duration
	// MaxUnconfirmed is how long an owner may act after the log last confirmed its tenure.
	MaxUnconfirmed time.Duration
	// RenewalWait is how long a host may delay a renewal reply to wait for a run to end.
	RenewalWait time.Duration
	// CheckpointInterval is the working time between two checkpoints of a task.
	CheckpointInterval time.Duration
	// RemoteDataFactor is the factor by which a task takes longer away from its data.
	RemoteDataFactor float64
	// NoticeTime is how long a long-running task may be down, for any cause, before it counts
	// as unavailable; one that an order ended counts at once.
	NoticeTime time.Duration
	// StopTime is how long a worker may take to end a run that it was ordered to stop.
	StopTime time.Duration
	// ContactTime is how long a change in a host's report may take to have effect, beyond
	// ReportInterval, which is how often hosts report.
	ContactTime, ReportInterval time.Duration
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention time.Duration
}

// maxLeaseDuration returns how long, by the local clock, a lease can last on a host whose
// clock runs as slowly as allowed.
func (l *Limits) maxLeaseDuration() time.Duration { return leaseDuration(min(l.Lease, l.MaxLease)) }

// maxGrantedDuration is the same for a lease whose end is any time on the host's clock.
func (l *Limits) maxGrantedDuration() time.Duration { return leaseDuration(l.MaxLease) }

func leaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-maxClockDrift)) + leaseSlack
}

// maxReportAge returns the age up to which a host's report says that its long-running tasks
// are available: they can't have been down for NoticeTime meanwhile.
func (l *Limits) maxReportAge() time.Duration {
	return max(l.NoticeTime/2, l.NoticeTime-noticeSlack)
}

const (
	// noticeSlack covers the time until an order that depends on a report has taken effect.
	noticeSlack = 1500 * time.Millisecond
	// maxClockDrift is the share by which a host's clock may run slower than the local
	// one, from the workers' contract.
	maxClockDrift = 0.02
	// clockSlack covers the rounding of clocks where two readings are compared.
	clockSlack = 20 * time.Millisecond
	// leaseSlack covers the rounding of clocks and timers at the expiry of a lease.
	leaseSlack = 150 * time.Millisecond
	// unhealthyPause is how long nothing is started on a host that refused a start as
	// unhealthy or for another cause without a rule of its own.
	unhealthyPause = 400 * time.Millisecond
	// capacityPause is how long nothing is started on a host that has less capacity than
	// known, or that refused a start because its lease had expired or the order was invalid.
	capacityPause = 250 * time.Millisecond
	// unknownRunTimeout is how long a run of an unknown job may go on before it is stopped.
	// A new owner reads the record of the job well within this time.
	unknownRunTimeout = 2 * time.Second
	// unknownStartTimeout is how long the run of an unanswered start may take to appear in
	// the host's list before it is stopped.
	unknownStartTimeout = 20 * time.Millisecond
	// startLifetime is how long after it was sent the start of a speculative task may take
	// effect.
	startLifetime = 800 * time.Millisecond
	// minRestartTime is the least time from a worker's last answer until it may be back under its ID
	// after a crash.
	minRestartTime = 400 * time.Millisecond
	// stopRetry is the time after which an unanswered stop is sent again.
	stopRetry = 700 * time.Millisecond
	// strandedAfter is how long a host must be unresponsive before its speculative tasks
	// are copied. One or two lost calls take less.
	strandedAfter = 2500 * time.Millisecond
	// stopTimeout is how long a run may go on after the stop was answered before the stop
	// is sent again.
	stopTimeout = 2 * time.Second
	// maxStartsPerHost bounds the starts in flight to one host; more would only queue there.
	maxStartsPerHost = 8
	// runNumberBits is the number of low bits of a run number that count runs under one
	// fencing token; the higher bits hold the token.
	runNumberBits = 16
	// suspectFailures is how many different jobs must have failed runs on a host, with no
	// success in between, before it is suspected. With fewer, the jobs may be at fault.
	suspectFailures = 3
	// suspectPause is how long a suspected host gets only one run at a time.
	suspectPause = 6 * time.Second
	// lateFactor is the multiple of its objective span after which a job's result has no
	// value any more.
	lateFactor = 3
)
