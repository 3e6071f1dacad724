package schedule

import (
	"maps"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// partTolerance is the share of a quota by which rounding may exceed a part.
const partTolerance = 1e-6

// organisation is what an organisation uses in the pool and may use.
type organisation struct {
	name string
	// quota is its quota over all pools, part the fraction of it that the pool may use. Before the
	// first allotment, that is the floor.
	quota    worker.Resources
	part     float64
	allotted bool
	// configured is set once a configuration had the organisation.
	configured bool
	// used is what its runs request. pending is the same for tasks without a run here that count as
	// running, by the last plan: see countPending.
	used, pending worker.Resources
	// demand is used to compute a load.
	demand worker.Resources
	// listedAt is when the decider was last told of its use, allottedAt when it last set the part.
	listedAt, allottedAt time.Time
	// blocked counts the tasks that the part kept waiting in the present plan, blockedJob is the job of
	// the first; waiting is the count of the last plan, reportedAt when it was last logged.
	blocked, waiting int
	blockedJob       job.ID
	reportedAt       time.Time
}

// organisations are those of a pool's jobs and of the configuration.
type organisations struct {
	byName map[string]*organisation
	// limited is the number of those with a quota, pools the number of pools that share it.
	limited, pools int
	// fleetToken is the highest token of a decider that was seen, sequence the number of the last
	// allotment that was applied under it.
	fleetToken, sequence int64
	// heardAt is when the decider last asked for the load.
	heardAt time.Time
	// restarting holds the long-running tasks that ran and have no run now. They keep what they had,
	// so that the decider does not lend it to another pool before they run again.
	restarting map[*task]struct{}
	// ran holds the long-running tasks of organisations that a host is known to have run.
	ran map[*task]struct{}
	// waitingSince holds when a part first kept tasks waiting that have not been started since.
	waitingSince map[*task]time.Time
	// forgottenAt is when tasks were last dropped from these.
	forgottenAt time.Time
	// awaited is set while the quotas are not known.
	awaited bool
}

func newOrganisations() organisations {
	return organisations{byName: map[string]*organisation{}, pools: 1, restarting: map[*task]struct{}{}, ran: map[*task]struct{}{}, waitingSince: map[*task]time.Time{}}
}

// get returns an organisation, or nil without a name.
func (s *organisations) get(name string) *organisation {
	if name == "" {
		return nil
	}
	o, ok := s.byName[name]
	if !ok {
		o = &organisation{name: name}
		s.byName[name] = o
	}
	return o
}

func (o *organisation) isLimited() bool { return o.quota != worker.Resources{} }

// AwaitOrganisations has jobs of organisations wait until the first SetOrganisations.
func (p *Pool) AwaitOrganisations() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.organisations.awaited = true
}

// SetOrganisations sets the quotas by the configuration in force, and the number of pools that share
// them. Parts scale with the quotas. Under a quota that is lowered in the middle of a tenure, other
// pools may still use more than that, so that nothing is started before the decider has divided it.
func (p *Pool) SetOrganisations(configured []queue.Organisation, pools int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.organisations
	s.pools, s.limited, s.awaited = max(1, pools), 0, false
	quotas := make(map[string]worker.Resources, len(configured))
	for n := range configured {
		quotas[configured[n].Name] = positive(configured[n].Quota)
		s.get(configured[n].Name)
	}
	for name, o := range s.byName {
		next, ok := quotas[name]
		if s.pools > 1 && o.configured && isLowered(o.quota, next) {
			o.part, o.allotted = 0, true
		}
		o.quota, o.configured = next, o.configured || ok
		if o.isLimited() {
			s.limited++
		}
	}
}

func positive(r worker.Resources) worker.Resources {
	return worker.Resources{CPU: max(0, r.CPU), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators)}
}

// isLowered reports whether a quota limits a resource more than before; 0 sets no limit.
func isLowered(before, next worker.Resources) bool {
	lower := func(before, next int64) bool { return next > 0 && (before == 0 || next < before) }
	return lower(before.CPU, next.CPU) || lower(before.MemoryMB, next.MemoryMB) || lower(before.Accelerators, next.Accelerators)
}

// Allot sets the parts of organisations' quotas by the decider with a fencing token. It returns false
// if the pool has seen a later decider or a later allotment, or has another owner than the decider knows.
func (p *Pool) Allot(fleetToken int64, poolToken worker.FencingToken, sequence int64, parts map[string]float64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.organisations
	if p.fenced || poolToken != p.token || fleetToken < s.fleetToken {
		return false
	}
	s.see(fleetToken)
	if sequence <= s.sequence {
		return false
	}
	s.sequence = sequence
	for name, part := range parts {
		if o := s.get(name); o != nil {
			o.part, o.allotted, o.allottedAt = min(1, max(0, part)), true, now
		}
	}
	return true
}

// see notes the token of a decider, which fences earlier ones.
func (s *organisations) see(fleetToken int64) {
	if fleetToken > s.fleetToken {
		s.fleetToken, s.sequence = fleetToken, 0
	}
}

// partOf returns the fraction of its quota that an organisation may use in the pool.
func (s *organisations) partOf(o *organisation) float64 {
	if o.allotted {
		return o.part
	}
	return quota.Floor(s.pools)
}

// fraction returns the largest fraction of a limited resource of the quota.
func (o *organisation) fraction(use worker.Resources) float64 {
	largest := 0.0
	for _, d := range [...]struct{ use, quota int64 }{
		{use.CPU, o.quota.CPU}, {use.MemoryMB, o.quota.MemoryMB}, {use.Accelerators, o.quota.Accelerators},
	} {
		if d.quota > 0 {
			largest = max(largest, float64(d.use)/float64(d.quota))
		}
	}
	return largest
}

// attached counts a run of an organisation.
func (s *organisations) attached(r *run) {
	o := r.task.step.job.organisation
	if o == nil {
		return
	}
	needs := r.task.step.def.Needs
	o.used = o.used.Plus(needs)
	if _, ok := s.restarting[r.task]; ok {
		delete(s.restarting, r.task)
		o.pending = o.pending.Minus(needs)
	}
}

// released counts a run that has certainly ended.
func (s *organisations) released(r *run) {
	t := r.task
	o := t.step.job.organisation
	if o == nil {
		return
	}
	needs := t.step.def.Needs
	o.used = o.used.Minus(needs)
	if !t.step.def.LongRunning || t.step.job.Ended() {
		return
	}
	if !r.startedAt.IsZero() || r.state == stateInherited {
		s.ran[t] = struct{}{}
	}
	if _, ok := s.ran[t]; ok && len(t.runs) == 0 {
		s.restarting[t] = struct{}{}
		o.pending = o.pending.Plus(needs)
	}
}

// countPending counts what organisations use beside the attached runs: the long-running tasks
// between two runs, and the starts without an answer that may still be carried out.
func (p *Pool) countPending(now time.Time) {
	if p.organisations.limited == 0 {
		return
	}
	for _, o := range p.organisations.byName {
		o.pending = worker.Resources{}
	}
	p.organisations.forgetTasks(now)
	for t := range p.organisations.restarting {
		if t.over() {
			delete(p.organisations.restarting, t)
			continue
		}
		o := t.step.job.organisation
		o.pending = o.pending.Plus(t.step.def.Needs)
	}
	for _, h := range p.hosts {
		p.countUnanswered(h.unanswered, h.runs, now)
	}
	for _, d := range p.departed {
		p.countUnanswered(d.unanswered, nil, now)
	}
}

// forgetTasks drops tasks that need no more runs, at intervals.
func (s *organisations) forgetTasks(now time.Time) {
	if now.Sub(s.forgottenAt) < quotaReportInterval {
		return
	}
	s.forgottenAt = now
	maps.DeleteFunc(s.waitingSince, func(t *task, _ time.Time) bool { return t.over() })
	maps.DeleteFunc(s.ran, func(t *task, _ struct{}) bool { return t.over() })
}

// over reports whether the task needs no more runs.
func (t *task) over() bool { return t.step.job.Ended() || t.done() }

func (p *Pool) countUnanswered(starts unansweredStarts, attached map[runKey]*run, now time.Time) {
	for key, until := range starts {
		if _, ok := attached[key]; ok || now.After(until) {
			continue
		}
		e, ok := p.jobs[jobID(key.task)]
		if !ok || e.organisation == nil {
			continue
		}
		e.organisation.pending = e.organisation.pending.Plus(e.Steps[key.task.Step].Needs)
	}
}
