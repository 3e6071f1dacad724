package maintenance

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Action is the kind of step that a proposal takes.
type Action string

const (
	// DrainForReboot drains a host, reboots it and returns it.
	DrainForReboot Action = "drain"
	// LendHost moves a spare or lent host to a pool whose budget allows none of its own to drain.
	LendHost Action = "lend"
	// ReturnLent moves a lent host back to its home pool.
	ReturnLent Action = "give-back"
	// HaltWave stops the maintenance of a data centre until an operator resumes it.
	HaltWave Action = "halt"
)

// Demand is the number of slots in demand now, by pool.
type Demand map[string]float64

// Proposal is one step that the planner proposes to take now.
type Proposal struct {
	Action Action `json:"action"`
	Host   string `json:"host,omitempty"`
	ToPool string `json:"to-pool,omitempty"`
	Reason string `json:"reason"`
}

// Wait is the reason why the planner does not act on a host, a pool or, if both are empty,
// the data centre.
type Wait struct {
	Pool   string `json:"pool,omitempty"`
	Host   string `json:"host,omitempty"`
	Reason string `json:"reason"`
}

// Plan is the planner's result for one data centre.
type Plan struct {
	DataCentre string     `json:"data-centre"`
	Proposals  []Proposal `json:"proposals"`
	Waits      []Wait     `json:"waits"`
	// Due and Overdue count the hosts of the data centre that are due or overdue for maintenance.
	Due     int `json:"due"`
	Overdue int `json:"overdue"`
	// NextWave is when the next wave begins, zero while one is under way or nothing may be
	// planned.
	NextWave time.Time `json:"next-wave,omitzero"`
}

func (p *Plan) propose(action Action, host, toPool, reason string) {
	p.Proposals = append(p.Proposals, Proposal{Action: action, Host: host, ToPool: toPool, Reason: reason})
}

func (p *Plan) addWait(pool, host, reason string) {
	p.Waits = append(p.Waits, Wait{Pool: pool, Host: host, Reason: reason})
}

// Record returns the log record that executes the proposal.
func (p Proposal) Record(s *state.State, dataCentre string) *wire.Record {
	if p.Action == HaltWave {
		return &wire.Record{Reason: p.Reason, Body: &wire.Record_Halt{Halt: &wire.Halt{DataCentre: dataCentre, Halted: true}}}
	}
	action := &wire.HostAction{Host: p.Host, Since: s.Hosts[p.Host].Since, Then: string(state.Reboot)}
	if p.Action != DrainForReboot {
		action.Then = string(state.Lend)
		action.ToPool = p.ToPool
	}
	return &wire.Record{Reason: p.Reason, Body: &wire.Record_Drain{Drain: action}}
}
