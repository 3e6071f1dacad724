// Package worker defines the messages between the owner of a pool and the workers on its
// upstream hosts.
package worker

import (
	"net/netip"
	"time"
)

// ID identifies a worker. A worker may keep its ID when it restarts; its incarnation
// changes.
type ID string

// Incarnation identifies an incarnation of a worker by its start time, which distinguishes
// two starts under the same ID.
type Incarnation int64

// Resources are the capacity of a host or the needs of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int64
	MemoryMB     int64
	Accelerators int64
}

// Fits reports whether r is no more than free in each resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// maxTotal is the most of a resource that Times returns. A sum of thousands of such amounts does
// not overflow.
const maxTotal = 1 << 44

// Times returns n times the resources, at most maxTotal of each; n must not be negative.
func (r Resources) Times(n int) Resources {
	times := func(amount int64) int64 {
		if amount > 0 && int64(n) > maxTotal/amount {
			return maxTotal
		}
		return amount * int64(n)
	}
	return Resources{times(r.CPU), times(r.MemoryMB), times(r.Accelerators)}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Report is what a worker publishes about itself in the log.
type Report struct {
	ID         ID
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Draining   bool
	// RemainingTime is the shortest time that a draining worker will still run.
	RemainingTime time.Duration
	Capacity      Resources
	// Kind is the label of the hardware, and Rack that of the rack.
	Kind        string
	Rack        string
	Incarnation Incarnation
}

// Target is the worker that an order is sent to.
type Target struct {
	ID      ID
	Address netip.AddrPort
}

// FencingToken is the fencing token of a pool's owner. A worker refuses orders with a lower
// token than the highest it has seen, which are those of an earlier owner.
type FencingToken int64

// TaskName identifies one task in an occurrence of a job.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task TaskName
	// Run is the number of the run; it rises with each start of the task.
	Run  int64
	Spec string
	// LeaseEnd is when the lease expires, on the worker's clock: the time since that
	// clock's zero.
	LeaseEnd   time.Duration
	Token      FencingToken
	Checkpoint string
	Ticket     string
}

// Refusal is the reason why a worker did not start a run.
type Refusal int

// The reasons why a worker refuses a start.
const (
	// Accepted means that the run is on the worker, started by this order or an earlier copy.
	Accepted Refusal = iota
	// RefusedFenced means that the worker has seen the fencing token of a later owner.
	RefusedFenced
	// RefusedStale means that a run of the task with the same or a higher number has been
	// stopped or has ended on this worker.
	RefusedStale
	// RefusedLeaseExpired means that the lease of the order had already expired.
	RefusedLeaseExpired
	// RefusedCapacity means that the worker has too little free capacity for the task.
	RefusedCapacity
	// RefusedTicket means that the ticket of the placement check has expired.
	RefusedTicket
	// RefusedUnhealthy means that the worker is unhealthy or busy.
	RefusedUnhealthy
	// RefusedInvalid means that the order can't be decoded or is for another incarnation.
	RefusedInvalid
)

var refusalNames = map[Refusal]string{
	Accepted: "accepted", RefusedFenced: "fence", RefusedStale: "old", RefusedLeaseExpired: "late", RefusedCapacity: "room",
	RefusedTicket: "ticket", RefusedUnhealthy: "unhealthy", RefusedInvalid: "invalid",
}

// String returns the name of the refusal for logs.
func (r Refusal) String() string { return refusalNames[r] }

// StartReply is a worker's reply to a StartOrder.
type StartReply struct {
	Refusal Refusal
	// Clock is the worker's clock at the time of the reply; 0 if it is unknown.
	Clock time.Duration
}

// StopOrder stops a run. If the run has not started on the worker, a later order to start
// it is refused.
type StopOrder struct {
	Task  TaskName
	Run   int64
	Token FencingToken
}

// ThrottleOrder throttles a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    TaskName
	Run     int64
	Percent int
	Token   FencingToken
}

// RenewalOrder renews the lease of all runs on a worker and asks for a list of them.
type RenewalOrder struct {
	Token FencingToken
	// Acknowledged is the number of the last ended run that the owner has received; the
	// worker may forget the runs up to it.
	Acknowledged int64
	// LeaseEnd is when the lease expires, on the worker's clock; 0 leaves the lease
	// unchanged.
	LeaseEnd time.Duration
	// MaxWait is how long the worker may delay its reply until a run ends.
	MaxWait time.Duration
}

// RenewalReply is the reply to a RenewalOrder: the runs on a worker and those that have
// ended.
type RenewalReply struct {
	Clock       time.Duration
	Incarnation Incarnation
	Running     []ActiveRun
	Ended       []EndedRun
	// Fenced is set when the worker has seen a later owner.
	Fenced bool
}

// ActiveRun is a run in progress on a worker.
type ActiveRun struct {
	Task       TaskName
	Run        int64
	Checkpoint string
	Percent    int
	// Usage is a measurement over the last half second: the tail latency in milliseconds
	// of a task that serves requests, the CPU usage in thousandths of a core of any other;
	// UsageUnknown if the worker does not measure it.
	Usage int64
}

// UsageUnknown is the usage of a run that is not measured.
const UsageUnknown = -1

// Outcome is the way in which a run ended.
type Outcome int

// The ways in which a run ends.
const (
	// OutcomeUnknown is an outcome that this program does not know.
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeFailed
	OutcomeStopped
	// OutcomeLeaseExpired means that the lease expired.
	OutcomeLeaseExpired
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that the other members of the gang did not start in time.
	OutcomeGangIncomplete
)

var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unknown", OutcomeDone: "done", OutcomeFailed: "failed", OutcomeStopped: "stopped",
	OutcomeLeaseExpired: "lapsed", OutcomeGangBroken: "broken", OutcomeGangIncomplete: "alone",
}

// String returns the name of the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// EndedRun is the record of an ended run.
type EndedRun struct {
	// Number counts the ended runs of one incarnation of the worker, from 1.
	Number     int64
	Task       TaskName
	Run        int64
	Outcome    Outcome
	Checkpoint string
}
