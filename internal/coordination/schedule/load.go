package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Load is a pool's demand and what each of its hosts is worth to it.
type Load struct {
	Pool string
	// Wanted is what runs and what could start now.
	Wanted worker.Resources
	// LongRunning is what long-running tasks ask for.
	LongRunning worker.Resources
	// SpreadHosts is the least number of hosts that the placement bounds of the steps ask for.
	SpreadHosts int
	Hosts       map[worker.ID]HostLoad
}

// HostLoad is the use of one host.
type HostLoad struct {
	Runs        int
	LongRunning int
	Use         Use
	// Vacant: cordoned, and nothing runs there nor can.
	Vacant bool
	// Loss is the work that ending its runs now would lose, in core-milliseconds.
	Loss int64
	// Silent: it does not answer.
	Silent bool
	// KnownAgo is how long ago it was last known to live.
	KnownAgo time.Duration
}

// Load gives the pool's demand.
func (p *Pool) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := Load{Pool: p.name, Hosts: make(map[worker.ID]HostLoad, len(p.hosts))}
	for id, h := range p.hosts {
		load.Hosts[id] = h.load(now)
	}
	for _, e := range p.jobs {
		if e.Ended() {
			continue
		}
		for occurrence := e.firstOpen(); occurrence < e.Runs() && !now.Before(e.DueAt(occurrence)); occurrence++ {
			p.occurrenceLoad(&load, e, occurrence, now)
		}
	}
	return load
}

func (p *Pool) occurrenceLoad(load *Load, e *entry, occurrence int, now time.Time) {
	state := e.Occurrence(occurrence)
	if state.Done {
		return
	}
	for number := range e.Steps {
		if state.StepDone(number) || !e.Ready(occurrence, number) {
			continue
		}
		s := e.step(occurrence, number)
		if e.class(s, e.objective(occurrence), now) == classWorthless {
			continue
		}
		needs := s.def.Reserved()
		for range state.Open(number) {
			load.Wanted = load.Wanted.Plus(needs)
		}
		if s.def.LongRunning {
			for range s.def.Tasks {
				load.LongRunning = load.LongRunning.Plus(needs)
			}
		}
		load.SpreadHosts = max(load.SpreadHosts, s.spread(state.Open(number)))
	}
}

// spread is how many hosts a step with so many open tasks should have. Long-running ones
// need them all at once, others may run in rounds.
func (s *step) spread(open int) int {
	if s.def.MaxPerHost == 0 {
		return 0
	}
	most := s.def.MaxPerHost
	if !s.def.LongRunning && !s.def.Gang {
		most *= spreadRounds
	}
	return (open + most - 1) / most
}

// spreadRounds is in how many rounds short tasks that must not share a host may run.
const spreadRounds = 2

func (h *host) load(now time.Time) HostLoad {
	load := HostLoad{
		Silent: !h.confirmed, KnownAgo: now.Sub(later(h.knownAt, h.heardAt)), Runs: len(h.runs), Use: h.use, Vacant: h.cordoned() && h.vacant(),
	}
	for _, r := range h.runs {
		def := r.task.step.def
		if def.LongRunning {
			load.LongRunning++
			continue
		}
		if !def.SavesProgress {
			load.Loss += now.Sub(r.sentAt).Milliseconds() * def.Needs.CPU / 1000
		}
	}
	return load
}
