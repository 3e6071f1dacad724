// Package capacity decides how many machines each pool gets, which move, and which
// are maintained next. It is given the time and all it knows; actions come out.
package capacity

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Pool is a pool of the configuration.
type Pool struct {
	Name  string
	Spare bool
	// Load is nil while the pool's owner does not answer; the pool then stays as it is.
	Load *schedule.Load
}

// Wave is a wave of maintenance with what is left of it.
type Wave struct {
	machine.Wave
	// SeenAt is when this owner learnt of it.
	SeenAt time.Time
	// Begun are the machines whose maintenance was accepted.
	Begun map[string]bool
}

// View is all that a plan is made from.
type View struct {
	Now      time.Time
	Pools    []Pool
	Machines []machine.Machine
	// ListedAt is when the list of machines was asked for.
	ListedAt time.Time
	Waves    []Wave
	// Ordered are the machines with an order under way, by name.
	Ordered map[string]Order
}

// Order is an order that was sent.
type Order struct {
	Action Action
	SentAt time.Time
}

// Kind of an action.
type Kind int

// The actions.
const (
	// Cordon keeps new runs from a host.
	Cordon Kind = iota
	// Retire moves long-running tasks away from a host that is due for maintenance.
	Retire
	// Lift takes either back.
	Lift
	Move
	Maintain
	// Barred is no action: the machine was ordered by an earlier owner. It is sent when
	// this one's tenure began.
	Barred
)

var kindNames = map[Kind]string{Cordon: "cordon", Retire: "retire", Lift: "lift", Move: "move", Maintain: "maintain", Barred: "barred"}

// String gives the name for logs.
func (k Kind) String() string { return kindNames[k] }

// Action is one thing to do now.
type Action struct {
	Kind    Kind
	Machine string
	Worker  worker.ID
	// Pool is the machine's pool, To where it moves.
	Pool   string
	To     string
	Wave   int64
	Reason string
}

// Allowed tells whether a pool's load still allows a move or maintenance: nothing runs on
// the host, or for maintenance nothing that has to move away first.
func (a *Action) Allowed(load *schedule.Load) bool {
	if load == nil {
		return false
	}
	h, ok := load.Hosts[a.Worker]
	return !ok || h.Vacant || (a.Kind == Maintain && h.Use == schedule.UseNone && h.LongRunning == 0)
}

// Options are the planner's figures.
type Options struct {
	// Headroom is the share of a pool's demand that it gets beyond it.
	Headroom float64
	// FloorHosts is the least number of hosts of a pool.
	FloorHosts int
	// ShrinkAfter is how long a pool must have too many hosts before it gives some up.
	ShrinkAfter time.Duration
	// MoveTime and MaintenanceTime are how long a machine is away.
	MoveTime, MaintenanceTime time.Duration
	// HandOver is how long after a change of owner the last one's orders may still arrive.
	HandOver time.Duration
	// WaveShare is the part of a wave's time in which it should be done.
	WaveShare float64
}

// Planner remembers since when pools have been too large.
type Planner struct {
	options Options
	// surplusSince is since when a pool has had more hosts than it needs.
	surplusSince map[string]time.Time
	trends       map[string]*trend
}

// NewPlanner makes a planner.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options, surplusSince: map[string]time.Time{}, trends: map[string]*trend{}}
}

// Done tells whether the maintenance of all machines that are still there has begun.
func (w *Wave) Done(machines []machine.Machine) bool {
	for n := range machines {
		if slices.Contains(w.Machines, machines[n].Name) && !w.Begun[machines[n].Name] {
			return false
		}
	}
	return true
}
