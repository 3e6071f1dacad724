package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Load is a pool's demand and how it uses each of its hosts.
type Load struct {
	Pool string
	// Demand is the demand of the tasks that run or could start now, without steps whose
	// result would come too late.
	Demand worker.Resources
	// LongRunning is the demand of the long-running tasks.
	LongRunning worker.Resources
	// SpreadHosts is the least number of hosts that the tasks need by their size and by the
	// MaxPerHost bounds of their steps.
	SpreadHosts int
	Hosts       map[worker.ID]HostLoad
	// Token is the owner's fencing token.
	Token worker.FencingToken
	// FleetToken is the highest token of a decider on quotas that the owner has seen, AllotSequence
	// the number of the last allotment that it has applied under this token.
	FleetToken, AllotSequence int64
	// Organisations is the use of the organisations with a quota.
	Organisations map[string]quota.Use
}

// HostLoad is how a pool uses one host. Tasks for which room is reserved count as runs.
type HostLoad struct {
	Runs        int
	LongRunning int
	Use         Use
	// Vacant is set when the host is cordoned and nothing runs there or can be started.
	Vacant bool
	// Loss is the work that would be lost if its runs were ended now, in core-milliseconds.
	Loss int64
	// Unresponsive is set while the host does not answer.
	Unresponsive bool
	// LastSeenAge is how long ago the host was last known to be alive.
	LastSeenAge time.Duration
	// LastSeen is when that was, on the clock of the pool's owner; peers know it for an
	// unresponsive host only.
	LastSeen time.Time
}

// Load returns the pool's demand and the use of its hosts.
func (p *Pool) Load(now time.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load(now)
}

// load is Load. The lock is held.
func (p *Pool) load(now time.Time) Load {
	load := Load{Pool: p.name, Hosts: make(map[worker.ID]HostLoad, len(p.hosts)), Token: p.token}
	for id, h := range p.hosts {
		load.Hosts[id] = h.load(now)
	}
	var longRunning, homeless []packedTasks
	for _, e := range p.openJobs() {
		e.stepsWithState(now, func(s *step) {
			e.stepLoad(&load, s, now)
			longRunning, homeless = p.longRunningTasks(longRunning, homeless, s)
		})
		e.upcomingLoad(&load, now)
		upcoming := e.upcomingLongRunning(now)
		longRunning, homeless = append(longRunning, upcoming...), append(homeless, upcoming...)
	}
	capacity := p.largestHost()
	load.SpreadHosts = max(load.SpreadHosts, hostsToPack(longRunning, capacity))
	if len(homeless) > 0 {
		load.SpreadHosts = max(load.SpreadHosts, p.hostsWithLongRunning()+hostsToPack(homeless, capacity))
	}
	p.organisationLoads(&load, now)
	return load
}

// stepLoad adds the demand of a step with state.
func (e *jobEntry) stepLoad(load *Load, s *step, now time.Time) {
	open := e.OpenTasks(s.occurrence, s.number)
	e.addDemand(s.def, open)
	if e.class(s, e.objective(s.occurrence), now) != classTooLate {
		addLoad(load, s.def, open)
	}
}

// upcomingLoad adds the demand of the upcoming occurrences.
func (e *jobEntry) upcomingLoad(load *Load, now time.Time) {
	for _, u := range e.upcomingSteps(now) {
		def := &e.Steps[u.number]
		for _, r := range u.classes {
			tasks := e.upcomingWithin(u.number, r.next, r.end) * def.Tasks
			e.addDemand(def, tasks)
			if tasks > 0 && r.class != classTooLate {
				addLoad(load, def, tasks)
			}
		}
	}
}

// addLoad adds the demand of so many tasks of a step that are not done, of one occurrence or several.
func addLoad(load *Load, def *job.Step, tasks int) {
	needs := def.Reserved().Times(tasks)
	load.Demand = load.Demand.Plus(needs)
	if def.LongRunning {
		load.LongRunning = load.LongRunning.Plus(needs)
	}
	load.SpreadHosts = max(load.SpreadHosts, minHosts(def, min(tasks, def.Tasks)))
}

// minHosts returns how many hosts a step needs for its open tasks under MaxPerHost.
// Long-running tasks and gangs need them all at once, other tasks may run in rounds.
func minHosts(def *job.Step, open int) int {
	if def.MaxPerHost == 0 {
		return 0
	}
	perHost := def.MaxPerHost
	if !def.LongRunning && !def.Gang {
		perHost *= spreadRounds
	}
	return (open + perHost - 1) / perHost
}

// spreadRounds is the number of rounds in which the short tasks of a step with MaxPerHost
// may run.
const spreadRounds = 2

func (h *host) load(now time.Time) HostLoad {
	load := HostLoad{
		Unresponsive: !h.confirmed, LastSeenAge: now.Sub(h.lastSeen()), LastSeen: h.lastSeen(), Use: h.use, Vacant: h.cordoned() && h.vacant(),
		// Tasks with room reserved are on their way.
		// Ended runs count until it is known whether the worker has crashed.
		Runs: len(h.runs) + len(h.reserved) + len(h.lapsed),
	}
	for _, t := range h.reserved {
		if t.step.def.LongRunning {
			load.LongRunning++
		}
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
