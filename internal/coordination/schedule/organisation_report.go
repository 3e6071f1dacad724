package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// quotaReportInterval is how often a pool logs that the quota of an organisation keeps tasks waiting.
const quotaReportInterval = time.Second

// quotaWait is how long the tasks of a step that have no state have been kept waiting by a quota,
// as of the plan in which they last were.
type quotaWait struct {
	since time.Time
	plan  int64
}

// admitsNow is admits for a task that is to be placed; it counts those that have to wait. If the
// task has no state, these are all like it in its step.
func (p *Pool) admitsNow(t *task, now time.Time) bool {
	if p.admits(t.step, 1, p.restarting(t)) {
		return true
	}
	if t.kept() {
		p.waitsForQuota(t.step, 1, now, t)
	} else {
		p.waitsForQuota(t.step, t.step.freshTasks(), now)
	}
	return false
}

// admitsGang is admitsNow for all tasks of a gang.
func (p *Pool) admitsGang(s *step, now time.Time) bool {
	open := s.job.OpenTasks(s.occurrence, s.number)
	if p.admits(s, open, p.restarting(s.tasks...)) {
		return true
	}
	p.waitsForQuota(s, open, now, s.tasks...)
	return false
}

// waitsForQuota notes that so many tasks of a step are kept waiting, of which some have state.
func (p *Pool) waitsForQuota(s *step, tasks int, now time.Time, withState ...*task) {
	e := s.job
	if e.organisation.blocked == 0 {
		e.organisation.blockedJob = e.ID
	}
	e.organisation.blocked += tasks
	for _, t := range withState {
		if _, ok := p.organisations.waitingSince[t]; !ok {
			p.organisations.waitingSince[t] = now
		}
	}
	if tasks == len(withState) {
		return
	}
	w, ok := e.quotaWaits[s.number]
	if !ok || w.plan < p.plans-1 {
		w.since = now
	}
	if e.quotaWaits == nil {
		e.quotaWaits = map[int]quotaWait{}
	}
	e.quotaWaits[s.number] = quotaWait{since: w.since, plan: p.plans}
}

// noteQuotaWait notes how long a task that is to be placed and has no state was kept waiting.
func (p *Pool) noteQuotaWait(t *task) {
	if w, ok := t.step.job.quotaWaits[t.step.number]; ok && w.plan >= p.plans-1 && !t.kept() {
		p.organisations.waitingSince[t] = w.since
	}
}

// reportQuotas logs which quotas keep tasks waiting, with what the decision was based on.
func (p *Pool) reportQuotas(now time.Time) {
	s := &p.organisations
	for _, o := range s.byName {
		o.waiting, o.blocked = o.blocked, 0
		if o.waiting == 0 || now.Sub(o.reportedAt) < quotaReportInterval {
			continue
		}
		o.reportedAt = now
		used := o.used.Plus(o.pending)
		p.events.Event("quota-reached", "pool", p.name, "organisation", o.name, "tasks", o.waiting, "first-job", o.blockedJob,
			"part", s.partOf(o), "part-age", age(now, o.allottedAt), "used", o.fraction(used), "used-cpu", used.CPU, "used-memory-mb", used.MemoryMB,
			"quota-cpu", o.quota.CPU, "quota-memory-mb", o.quota.MemoryMB, "quota-accelerators", o.quota.Accelerators,
			"pools", s.pools, "decider", s.fleetToken, "decider-age", age(now, s.heardAt), "quota-known", !s.awaited)
	}
}

// age returns the time since at, and -1 if at is not known.
func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// OrganisationDump is what an organisation uses in a pool and may use, as operators see it.
type OrganisationDump struct {
	Name    string           `json:"name"`
	Running worker.Resources `json:"running"`
	Quota   worker.Resources `json:"quota"`
	// Part and Used are fractions of the quota.
	Part    float64 `json:"part"`
	PartAge string  `json:"part-age"`
	Used    float64 `json:"used"`
	// Waiting is the number of tasks that the part kept waiting in the last plan, without those of
	// occurrences that the plan did not come to.
	Waiting int `json:"waiting-for-quota"`
}

// Organisations returns what the organisations with a quota use in the pool.
func (p *Pool) Organisations(now time.Time) []OrganisationDump {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dumpOrganisations(now)
}

// dumpOrganisations is Organisations. The lock is held.
func (p *Pool) dumpOrganisations(now time.Time) []OrganisationDump {
	var all []OrganisationDump
	for _, o := range p.organisations.byName {
		if o.isLimited() {
			all = append(all, OrganisationDump{
				Name: o.name, Running: o.used, Quota: o.quota, Part: p.organisations.partOf(o), PartAge: age(now, o.allottedAt).Round(time.Millisecond).String(),
				Used: o.fraction(o.used.Plus(o.pending)), Waiting: o.waiting,
			})
		}
	}
	slices.SortFunc(all, func(a, b OrganisationDump) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
