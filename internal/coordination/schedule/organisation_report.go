package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// quotaReportInterval is how often a pool logs that the quota of an organisation keeps tasks waiting.
const quotaReportInterval = time.Second

// admitsNow is admits for tasks that are to be placed; it counts those that have to wait.
func (p *Pool) admitsNow(s *step, now time.Time, tasks ...*task) bool {
	if p.admits(s, tasks...) {
		return true
	}
	o := s.job.organisation
	if o.blocked == 0 {
		o.blockedJob = s.job.ID
	}
	o.blocked += len(tasks)
	for _, t := range tasks {
		if _, ok := p.organisations.waitingSince[t]; !ok {
			p.organisations.waitingSince[t] = now
		}
	}
	return false
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
	// Waiting is the number of tasks that the part kept waiting in the last plan.
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
