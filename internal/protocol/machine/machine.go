// Package machine holds the messages of the service that moves machines between
// pools and takes them down for maintenance.
package machine

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// State of a machine.
type State int

// The states of a machine.
const (
	// Unknown is a state that this program doesn't know.
	Unknown State = iota
	Up
	Moving
	Maintenance
	Down
)

var stateNames = map[State]string{Unknown: "unknown", Up: "up", Moving: "moving", Maintenance: "maintenance", Down: "down"}

// String gives the name for logs.
func (s State) String() string { return stateNames[s] }

// Machine is one upstream machine; its worker changes with each life.
type Machine struct {
	Name       string
	Pool       string
	State      State
	DataCentre string
	Kind       string
	Rack       string
	Capacity   worker.Resources
	Worker     worker.ID
}

// Holder names who orders machines, with the fencing token of its tenure.
type Holder struct {
	Name  string
	Fence worker.Fence
}

// Outcome of an order that was answered.
type Outcome int

// The outcomes.
const (
	// Accepted means that it is under way or has been done.
	Accepted Outcome = iota
	// Fenced means that a later holder has ordered this machine.
	Fenced
	// Busy means that the machine is not up, or is leaving.
	Busy
	// NotInWave means that the wave does not list the machine.
	NotInWave
	// Invalid means that there is no such machine or pool.
	Invalid
	// Limited means that too many orders were sent; it was not carried out.
	Limited
)

var outcomeNames = map[Outcome]string{
	Accepted: "accepted", Fenced: "fenced", Busy: "busy", NotInWave: "not-in-wave", Invalid: "invalid", Limited: "limited",
}

// String gives the name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Wave asks for the maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// MaxDown is how many may be down for it at once.
	MaxDown int
}
