// Package capacity decides how many machines each pool gets, which of them move, and which
// are maintained next. It does no I/O: a plan is computed from a view, which includes the
// time, and from the trends of earlier plans.
package capacity

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Pool is a configured pool and its load.
type Pool struct {
	Name  string
	Spare bool
	// Load is nil while the pool's owner does not answer; the pool's machines then stay.
	Load *schedule.Load
}

// Wave is a wave of maintenance with its progress.
type Wave struct {
	machine.Wave
	// SeenAt is when this owner first saw the wave.
	SeenAt time.Time
	// Started holds the machines whose order for maintenance was accepted.
	Started map[string]bool
}

// View is the input of a plan.
type View struct {
	Now      time.Time
	Pools    []Pool
	Machines []machine.Machine
	// ListedAt is when the list of machines was requested.
	ListedAt time.Time
	Waves    []Wave
	// Ordered holds the orders under way by the name of the machine.
	Ordered map[string]Order
}

// Order is an action on a machine and the time from which it counts as sent.
type Order struct {
	Action Action
	SentAt time.Time
}

// Kind is the kind of an action.
type Kind int

// The kinds of actions.
const (
	// Cordon keeps new runs from a host.
	Cordon Kind = iota
	// Retire moves long-running tasks away from a host that is due for maintenance.
	Retire
	// LiftRestriction removes either restriction.
	LiftRestriction
	// Move moves a machine to another pool.
	Move
	// Maintain takes a machine down for the maintenance of a wave.
	Maintain
	// OrderedByFormerOwner marks a machine whose last order came from a former owner and
	// which must not be ordered yet. It is never carried out; its SentAt is the start of this
	// owner's tenure.
	OrderedByFormerOwner
)

var kindNames = map[Kind]string{Cordon: "cordon", Retire: "retire", LiftRestriction: "lift", Move: "move", Maintain: "maintain", OrderedByFormerOwner: "barred"}

// String returns the name for logs.
func (k Kind) String() string { return kindNames[k] }

// Action is one action on a machine or its worker.
type Action struct {
	Kind    Kind
	Machine string
	Worker  worker.ID
	// Pool is the machine's pool, To the pool that it moves to.
	Pool string
	To   string
	// Wave is the number of the wave that the action belongs to, 0 for none.
	Wave   int64
	Reason string
}

// Allowed reports whether a pool's load still allows a move or maintenance: nothing runs on
// the host or, for maintenance, the host is cordoned and has no long-running tasks, which
// would have to move away first.
func (a *Action) Allowed(load *schedule.Load) bool {
	if load == nil {
		return false
	}
	h, ok := load.Hosts[a.Worker]
	return !ok || h.Vacant || (a.Kind == Maintain && h.Use == schedule.UseNone && h.LongRunning == 0)
}

// Options configures a Planner.
type Options struct {
	// HeadroomFactor is the factor by which a pool's capacity is to exceed its demand, 1 for
	// none.
	HeadroomFactor float64
	// MinHosts is the minimum number of hosts of a pool.
	MinHosts int
	// ShrinkAfter is how long a pool must have more hosts than it needs before some are
	// released.
	ShrinkAfter time.Duration
	// MoveTime and MaintenanceTime are how long a machine is unavailable.
	MoveTime, MaintenanceTime time.Duration
	// FormerOwnerOrderTime is how long after a change of owner orders of the former owner may
	// still arrive.
	FormerOwnerOrderTime time.Duration
	// OffPeakShare is the part of a wave's duration in which the wave should be done. After it,
	// machines are also taken from pools that have no surplus.
	OffPeakShare float64
}

// Planner computes plans. Between them it keeps since when pools have had a surplus, and the
// trends of their demand.
type Planner struct {
	options Options
	// surplusSince is when each pool began to have more hosts than it needs.
	surplusSince map[string]time.Time
	trends       map[string]*trend
}

// NewPlanner creates a Planner.
func NewPlanner(options Options) *Planner {
	return &Planner{options: options, surplusSince: map[string]time.Time{}, trends: map[string]*trend{}}
}

// Done reports whether maintenance has started for all machines of the wave that are still
// listed.
func (w *Wave) Done(machines []machine.Machine) bool {
	for n := range machines {
		if slices.Contains(w.Machines, machines[n].Name) && !w.Started[machines[n].Name] {
			return false
		}
	}
	return true
}
