package maintenance

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// Action is what a proposal does.
type Action string

const (
	// DrainForReboot drains a host, reboots it and returns it.
	DrainForReboot Action = "drain"
	// LendHost takes a spare or lent host to a pool that can't spare one of its own.
	LendHost Action = "lend"
	// GiveBack takes a lent host home.
	GiveBack Action = "give-back"
	// HaltWave stops the maintenance of a data centre until an operator resumes it.
	HaltWave Action = "halt"
)

// Demand is the slots that are asked for now, by pool.
type Demand map[string]float64

// Proposal is one step that the planner would take now.
type Proposal struct {
	Action Action `json:"action"`
	Host   string `json:"host,omitempty"`
	ToPool string `json:"to-pool,omitempty"`
	Reason string `json:"reason"`
}

// Wait is something that the planner holds back, and why.
type Wait struct {
	Pool   string `json:"pool,omitempty"`
	Host   string `json:"host,omitempty"`
	Reason string `json:"reason"`
}

// Plan is what the planner makes of a state.
type Plan struct {
	DataCentre string     `json:"data-centre"`
	Proposals  []Proposal `json:"proposals"`
	Waits      []Wait     `json:"waits"`
	// Due and Overdue count hosts of the data centre.
	Due     int `json:"due"`
	Overdue int `json:"overdue"`
	// NextWave is when the next wave begins, if none is under way.
	NextWave time.Time `json:"next-wave,omitzero"`
}

func (p *Plan) propose(action Action, host, toPool, reason string) {
	p.Proposals = append(p.Proposals, Proposal{Action: action, Host: host, ToPool: toPool, Reason: reason})
}

func (p *Plan) wait(pool, host, reason string) {
	p.Waits = append(p.Waits, Wait{Pool: pool, Host: host, Reason: reason})
}

// Record is the log record that carries a proposal out.
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
