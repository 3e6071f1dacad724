// Package worker holds the messages between the owner of a pool and the workers
// on its upstream hosts.
package worker

import (
	"net/netip"
	"time"
)

// ID names one worker. A worker that starts again may keep its ID; see Life.
type ID string

// Life tells two starts of the worker under one ID apart: its start time.
type Life int64

// Resources are what a host has or a task asks for.
type Resources struct {
	// CPU in thousandths of a core.
	CPU          int64
	MemoryMB     int64
	Accelerators int64
}

// Fits tells whether r is within free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus adds.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus subtracts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Report is what a worker says of itself in the list of live hosts.
type Report struct {
	ID         ID
	Pool       string
	Address    netip.AddrPort
	DataCentre string
	Draining   bool
	// Remaining is the least time left to a draining worker.
	Remaining time.Duration
	Capacity  Resources
	// Kind is the label of the hardware; Rack the label of the place.
	Kind string
	Rack string
	Life Life
}

// Target is where an order goes.
type Target struct {
	ID      ID
	Address netip.AddrPort
}

// Fence refuses orders of an earlier owner: a worker obeys the highest it has seen.
type Fence int64

// TaskName names one task of a job's occurrence.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task TaskName
	// Run rises with each start of the task.
	Run  int64
	Spec string
	// LeaseEnd is on the worker's clock, in time since that clock's zero.
	LeaseEnd   time.Duration
	Fence      Fence
	Checkpoint string
	Ticket     string
}

// Refusal is why a worker did not start a run.
type Refusal int

// Why a worker refuses a start.
const (
	// Accepted means that the run is there.
	Accepted Refusal = iota
	// RefusedFence means that a later owner has been seen.
	RefusedFence
	// RefusedOld means that a run as new has been stopped or has ended there.
	RefusedOld
	// RefusedLate means that the lease end had passed.
	RefusedLate
	// RefusedRoom means that the task does not fit.
	RefusedRoom
	// RefusedTicket means that the advice has run out.
	RefusedTicket
	// RefusedUnhealthy means that the worker is unhealthy or busy.
	RefusedUnhealthy
	// RefusedInvalid means that the order can't be read or is of another life.
	RefusedInvalid
)

var refusalNames = map[Refusal]string{
	Accepted: "accepted", RefusedFence: "fence", RefusedOld: "old", RefusedLate: "late", RefusedRoom: "room",
	RefusedTicket: "ticket", RefusedUnhealthy: "unhealthy", RefusedInvalid: "invalid",
}

// String gives the name for logs.
func (r Refusal) String() string { return refusalNames[r] }

// StartReply is a worker's answer to a start.
type StartReply struct {
	Refusal Refusal
	// Clock is the worker's clock when it answered; 0 if it did not say.
	Clock time.Duration
}

// StopOrder stops a run, and refuses it if it is still to come.
type StopOrder struct {
	Task  TaskName
	Run   int64
	Fence Fence
}

// PaceOrder lets a run work at a share of its speed.
type PaceOrder struct {
	Task    TaskName
	Run     int64
	Percent int
	Fence   Fence
}

// HoldOrder extends the lease of all that runs on a worker and asks what does.
type HoldOrder struct {
	Fence Fence
	// LastSeen is the number of the last end that the worker may forget.
	LastSeen int64
	// LeaseEnd is on the worker's clock; 0 leaves the lease as it is.
	LeaseEnd time.Duration
	// Wait is how long the worker may wait for a run to end.
	Wait time.Duration
}

// HoldReply lists what runs on a worker and what has ended.
type HoldReply struct {
	Clock   time.Duration
	Life    Life
	Running []Running
	Ended   []Ended
	// Fenced is set when the worker has seen a later owner.
	Fenced bool
}

// Running is a run that a worker has.
type Running struct {
	Task       TaskName
	Run        int64
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds of a task that serves, else the
	// CPU in use in thousandths of a core, over the last half second.
	Gauge int64
}

// How tells how a run ended.
type How int

// The ways a run ends.
const (
	// HowUnknown is an end that this program doesn't know.
	HowUnknown How = iota
	HowDone
	HowFailed
	HowStopped
	// HowLapsed means that the lease ran out.
	HowLapsed
	// HowBroken means that another member of the gang ended.
	HowBroken
	// HowAlone means that the rest of the gang did not come in time.
	HowAlone
)

var howNames = map[How]string{
	HowUnknown: "unknown", HowDone: "done", HowFailed: "failed", HowStopped: "stopped",
	HowLapsed: "lapsed", HowBroken: "broken", HowAlone: "alone",
}

// String gives the name for logs.
func (h How) String() string { return howNames[h] }

// Ended is a run that has ended.
type Ended struct {
	// Number counts the ends of one life of the worker from 1.
	Number     int64
	Task       TaskName
	Run        int64
	How        How
	Checkpoint string
}
