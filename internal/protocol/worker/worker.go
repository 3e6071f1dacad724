// Package worker defines the messages between the owner of a pool and the workers on its
// upstream hosts.
package worker

import (
	"net/netip"
	"time"
)

// ID identifies a worker. A worker may keep its ID when it restarts; its incarnation, Life,
// changes.
type ID string

// Life is the incarnation of a worker: its start time, which distinguishes two starts
// under the same ID.
type Life int64

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

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Report is what a worker publishes about itself in the list of live hosts.
type Report struct {
	ID         ID
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Draining   bool
	// Remaining is the shortest time that a draining worker will still run.
	Remaining time.Duration
	Capacity  Resources
	// Kind is the label of the hardware, and Rack that of the rack.
	Kind string
	Rack string
	Life Life
}

// Target is the worker that an order is sent to.
type Target struct {
	ID      ID
	Address netip.AddrPort
}

// Fence is the fencing token of a pool's owner. A worker refuses orders with a lower token
// than the highest it has seen, which are those of an earlier owner.
type Fence int64

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
	Fence      Fence
	Checkpoint string
	Ticket     string
}

// Refusal is the reason why a worker did not start a run.
type Refusal int

// The reasons why a worker refuses a start.
const (
	// Accepted means that the run is on the worker, started by this order or an earlier copy.
	Accepted Refusal = iota
	// RefusedFence means that the worker has seen the fencing token of a later owner.
	RefusedFence
	// RefusedOld means that a run of the task with the same or a higher number has been
	// stopped or has ended on this worker.
	RefusedOld
	// RefusedLate means that the lease of the order had already expired.
	RefusedLate
	// RefusedRoom means that the worker has too little free capacity for the task.
	RefusedRoom
	// RefusedTicket means that the ticket of the placement check has expired.
	RefusedTicket
	// RefusedUnhealthy means that the worker is unhealthy or busy.
	RefusedUnhealthy
	// RefusedInvalid means that the order can't be decoded or is for another incarnation.
	RefusedInvalid
)

var refusalNames = map[Refusal]string{
	Accepted: "accepted", RefusedFence: "fence", RefusedOld: "old", RefusedLate: "late", RefusedRoom: "room",
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
	Fence Fence
}

// PaceOrder throttles a run to a percentage of its full speed.
type PaceOrder struct {
	Task    TaskName
	Run     int64
	Percent int
	Fence   Fence
}

// HoldOrder renews the lease of all runs on a worker and asks for a list of them.
type HoldOrder struct {
	Fence Fence
	// LastSeen acknowledges ended runs: the worker may forget those up to this number.
	LastSeen int64
	// LeaseEnd is when the lease expires, on the worker's clock; 0 leaves the lease
	// unchanged.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
}

// HoldReply is a renewal reply: the runs on a worker and those that have ended.
type HoldReply struct {
	Clock   time.Duration
	Life    Life
	Running []Running
	Ended   []Ended
	// Fenced is set when the worker has seen a later owner.
	Fenced bool
}

// Running is a run in progress on a worker.
type Running struct {
	Task       TaskName
	Run        int64
	Checkpoint string
	Percent    int
	// Gauge is a measurement over the last half second: the tail latency in milliseconds
	// of a task that serves requests, the CPU usage in thousandths of a core of any other.
	Gauge int64
}

// How is the way in which a run ended.
type How int

// The ways in which a run ends.
const (
	// HowUnknown is an outcome that this program does not know.
	HowUnknown How = iota
	HowDone
	HowFailed
	HowStopped
	// HowLapsed means that the lease expired.
	HowLapsed
	// HowBroken means that another member of the gang ended.
	HowBroken
	// HowAlone means that the other members of the gang did not start in time.
	HowAlone
)

var howNames = map[How]string{
	HowUnknown: "unknown", HowDone: "done", HowFailed: "failed", HowStopped: "stopped",
	HowLapsed: "lapsed", HowBroken: "broken", HowAlone: "alone",
}

// String returns the name of the outcome for logs.
func (h How) String() string { return howNames[h] }

// Ended is the record of an ended run.
type Ended struct {
	// Number counts the ended runs of one incarnation of the worker, from 1.
	Number     int64
	Task       TaskName
	Run        int64
	How        How
	Checkpoint string
}
