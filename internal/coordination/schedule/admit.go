package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

const (
	// minRetryAfter and maxRetryAfter bound when a refused job should be submitted again.
	minRetryAfter, maxRetryAfter = time.Second, 8 * time.Second
	// retrySpread is the part of the time until a retry over which retries are spread.
	retrySpread = 0.5
	// admissionSteps is into how many parts the time in which a job is of one class is divided to find
	// one in which it could start.
	admissionSteps = 4
	// rejectedInterval is how often it is logged that jobs of an organisation are rejected.
	rejectedInterval = time.Second
)

// Admit decides whether a new job is accepted, and otherwise after which time it may be submitted
// again. A job is refused if it would certainly end after its result has lost its value. Jobs that
// the pool has, long-running ones and those with occurrences never are, nor any without
// organisations in the configuration or by a fenced pool.
func (p *Pool) Admit(j *job.Job, now time.Time) (retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.jobs[j.ID]; known || p.shares == nil || p.fenced || j.Occurrences > 0 {
		return 0, true
	}
	e := &jobEntry{Job: jobs.New(j), criticalPaths: j.CriticalPaths()}
	if e.longRunning() {
		return 0, true
	}
	b := p.currentBacklog(now)
	own := p.newWork(e, b)
	if p.mayEndInTime(e, own, b, now) {
		return 0, true
	}
	ahead := b.before(own, classOnTime)
	wait := b.drainTime(&ahead)
	retryAfter = retryTime(j.ID, wait-own.lateAfter)
	p.reportRejected(own.share, j, wait, retryAfter, b, now)
	return retryAfter, false
}

// newWork returns what orders a new job.
func (p *Pool) newWork(e *jobEntry, b *backlog) *waitingWork {
	f := p.shares.of(e.Organisation)
	f.bucket.mark(f.queue.remarked)
	left := e.objective(0).Add(-e.longestPath()).Sub(b.at)
	return &waitingWork{
		share: f, excess: f.bucket.exceeds(e.AcceptedAt), priority: e.Priority, order: e.workLeft(0),
		lateAfter: left, tooLateAfter: left + (lateFactor-1)*e.objectiveSpan(),
	}
}

// mayEndInTime reports whether there is a time at which a new job could start, since all that comes
// before it may have been done, and from which it could end before its result has lost its value.
func (p *Pool) mayEndInTime(e *jobEntry, own *waitingWork, b *backlog, now time.Time) bool {
	start, last := now.Sub(b.at), e.valueEnd(0).Add(-p.estimates.atLeast(e.Queue, e.longestPath())).Sub(b.at)
	if last <= start || own.classAt(start) != classOnTime || b.capacity == (demand{}) || b.isSmall(own, last) {
		return true
	}
	for _, segment := range []struct {
		class int
		end   time.Duration
	}{{classOnTime, own.lateAfter}, {classLate, own.tooLateAfter}, {classTooLate, last}} {
		length := min(segment.end, last) - start
		if length <= 0 {
			continue
		}
		before := b.before(own, segment.class)
		for n := 1; n <= admissionSteps; n++ {
			at := start + length*time.Duration(n)/admissionSteps
			ahead := b.arriving(own, segment.class, at)
			ahead.addWork(&before)
			if b.drains(&ahead, at) {
				return true
			}
		}
		start += length
	}
	return false
}

// retryTime returns when a refused job should be submitted again: once the backlog has drained so
// far that it would be on time, or within the following half of that time, by its ID.
func retryTime(id job.ID, drained time.Duration) time.Duration {
	longest := float64(maxRetryAfter) / (1 + retrySpread)
	drained = min(max(minRetryAfter, drained), time.Duration(longest))
	spread := float64(xxhash.Sum64String(string(id))%1000) / 1000
	return drained + time.Duration(retrySpread*spread*float64(drained))
}

// reportRejected counts a refusal and logs it, at most once each rejectedInterval.
func (p *Pool) reportRejected(f *fairShare, j *job.Job, wait, retryAfter time.Duration, b *backlog, now time.Time) {
	f.rejected++
	if now.Sub(f.rejectedAt) < rejectedInterval {
		return
	}
	f.rejectedAt = now
	p.events.Event("job-rejected", "job", j.ID, "organisation", f.organisation, "pool", p.name, "rejected", f.rejected,
		"wait", wait, "retry-after", retryAfter, "backlog-core-s", int64(b.total.mean[0]/1000), "capacity-cpu", int64(b.capacity[0]),
		"growth-cpu", int64(b.growth[0]), "waiting-steps", len(b.items), "age", now.Sub(b.at))
}

// longestPath returns the job's longest chain of estimates.
func (e *jobEntry) longestPath() time.Duration {
	longest := time.Duration(0)
	for _, c := range e.criticalPaths {
		longest = max(longest, c)
	}
	return longest
}
