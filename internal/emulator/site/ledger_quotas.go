package site

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// quotaGrace is how long after a configuration an earlier one may be in force.
	quotaGrace = 3 * time.Second
	// quotaTolerance is the factor by which an organisation may exceed its quota, beside one task.
	quotaTolerance = 1.1
	// lateQuotaGrace is quotaGrace for a start order that is carried out late.
	lateQuotaGrace = quotaGrace + 15*time.Second
)

// quotaVersion holds the quotas of a configuration and when it was published.
type quotaVersion struct {
	at     time.Time
	quotas map[string]worker.Resources
}

// quotaLedger holds what organisations may run.
type quotaLedger struct {
	versions []quotaVersion
	// peak is the most that each organisation had running, as a fraction of its quota then.
	peak map[string]float64
}

func (q *quotaLedger) configured(c *queue.Configuration) {
	v := quotaVersion{time.Now(), map[string]worker.Resources{}}
	for n := range c.Organisations {
		v.quotas[c.Organisations[n].Name] = c.Organisations[n].Quota
	}
	q.versions = append(q.versions, v)
}

// highest returns the highest quota that may be in force, of one resource at a time; 0 sets no limit.
func (q *quotaLedger) highest(organisation string, grace time.Duration, of func(worker.Resources) int64) int64 {
	highest := int64(0)
	for n := range q.versions {
		if n < len(q.versions)-1 && time.Since(q.versions[n+1].at) > grace {
			continue
		}
		quota := of(q.versions[n].quotas[organisation])
		if quota == 0 {
			return 0
		}
		highest = max(highest, quota)
	}
	return highest
}

// resources are the limited ones by name.
var resources = map[string]func(worker.Resources) int64{
	"cpu":          func(r worker.Resources) int64 { return r.CPU },
	"memory-mb":    func(r worker.Resources) int64 { return r.MemoryMB },
	"accelerators": func(r worker.Resources) int64 { return r.Accelerators },
}

// checkQuota checks what an organisation has running over all workers when one of its tasks starts.
// What is being stopped counts until it has ended. The caller holds the ledger's lock.
func (l *Ledger) checkQuota(w *Worker, o worker.StartOrder, s *submitted, actual taskBehaviour, late bool) {
	if s.Organisation == "" || len(l.quotas.versions) == 0 {
		return
	}
	grace := quotaGrace
	if late {
		grace = lateQuotaGrace
	}
	running := l.runningOf(s.Organisation)
	for name, of := range resources {
		quota := l.quotas.highest(s.Organisation, grace, of)
		if quota == 0 {
			continue
		}
		used, needs := of(running), of(actual.step.Needs)
		l.quotas.peak[s.Organisation] = max(l.quotas.peak[s.Organisation], float64(used+needs)/float64(quota))
		if float64(used) > quotaTolerance*float64(quota) && needs > 0 {
			l.addViolation("quota: %s run %d was started on %s while %s had %d of %s running; its quota is %d", o.Task, o.Run, w.id, s.Organisation, used, name, quota)
		}
	}
}

// runningOf returns what the live runs of an organisation request.
func (l *Ledger) runningOf(organisation string) worker.Resources {
	var sum worker.Resources
	for name, h := range l.tasks {
		s := l.jobs[job.ID(name.Job)]
		if s == nil || s.Organisation != organisation {
			continue
		}
		for range h.running {
			sum = sum.Plus(s.actual[name.Step].step.Needs)
		}
	}
	return sum
}

// QuotaPeak returns the largest fraction of its quota that an organisation had running.
func (l *Ledger) QuotaPeak(organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quotas.peak[organisation]
}

// withOrganisations returns a configuration with organisations and a version.
func withOrganisations(c *queue.Configuration, version int64, organisations ...queue.Organisation) *queue.Configuration {
	changed := *c
	changed.Version, changed.Organisations = version, slices.Clone(organisations)
	return &changed
}
