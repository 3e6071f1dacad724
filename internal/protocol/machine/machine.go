// Package machine defines the messages of the machine service, which moves machines
// between pools and takes them down for maintenance.
package machine

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// State is the state of a machine.
type State int

// The states of a machine.
const (
	// Unknown is a state that this program does not know.
	Unknown State = iota
	Up
	Moving
	Maintenance
	Down
)

var stateNames = map[State]string{Unknown: "unknown", Up: "up", Moving: "moving", Maintenance: "maintenance", Down: "down"}

// String returns the name of the state for logs.
func (s State) String() string { return stateNames[s] }

// Machine is one upstream machine. Its worker changes with each incarnation.
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

// Holder identifies the entry host that orders machines, with the fencing token of its
// tenure.
type Holder struct {
	Name  string
	Token worker.FencingToken
}

// Outcome is the machine service's answer to an order.
type Outcome int

// The outcomes of an order.
const (
	// Accepted means that the order is being carried out or is done.
	Accepted Outcome = iota
	// Fenced means that a later holder has ordered this machine.
	Fenced
	// Busy means that the machine is not up, or is leaving.
	Busy
	// NotInWave means that the wave does not list the machine.
	NotInWave
	// Invalid means that the machine or the pool does not exist.
	Invalid
	// Limited means that the order was not carried out, because the rate limit was exceeded.
	Limited
)

var outcomeNames = map[Outcome]string{
	Accepted: "accepted", Fenced: "fenced", Busy: "busy", NotInWave: "not-in-wave", Invalid: "invalid", Limited: "limited",
}

// String returns the name of the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Wave is a request to maintain a set of machines.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// MaxDown bounds the machines that may be down for the wave at the same time.
	MaxDown int
}
