package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
)

// bucketDepth is how long an organisation may save up jobs that it did not submit.
const bucketDepth = time.Second

// bucket marks the jobs of an organisation that exceed its weight. It is a token bucket over the
// jobs in the order of their acceptance, whatever the order in which they arrive here, so that a new
// owner marks the same ones.
type bucket struct {
	// interval is the time in which one token is added, tolerance how much earlier than that, saved
	// up, a job may come.
	interval, tolerance time.Duration
	jobs                []acceptance
	// marked is how many jobs are marked; those after them were added since.
	marked int
}

// acceptance is an accepted job. level is when the bucket will be full again after it.
type acceptance struct {
	job   *jobEntry
	level time.Time
}

// setRate sets the jobs per second that are not marked.
func (b *bucket) setRate(rate float64) {
	b.interval = time.Duration(float64(time.Second) / rate)
	b.tolerance = max(0, bucketDepth-b.interval)
	b.marked = 0
}

func (b *bucket) add(e *jobEntry) {
	n, _ := slices.BinarySearchFunc(b.jobs, e, func(a acceptance, e *jobEntry) int {
		return cmp.Or(a.job.AcceptedAt.Compare(e.AcceptedAt), cmp.Compare(a.job.ID, e.ID))
	})
	b.jobs = slices.Insert(b.jobs, n, acceptance{job: e})
	b.marked = min(b.marked, n)
}

// mark marks the jobs that were added, and those accepted after them. It calls changed for those with
// another mark than before.
func (b *bucket) mark(changed func(*jobEntry)) {
	for ; b.marked < len(b.jobs); b.marked++ {
		var level time.Time
		if b.marked > 0 {
			level = b.jobs[b.marked-1].level
		}
		a := &b.jobs[b.marked]
		before := a.job.excess
		a.job.excess = false
		switch accepted := a.job.AcceptedAt; {
		case a.job.longRunning():
		case level.After(accepted.Add(b.tolerance)):
			a.job.excess = true
		default:
			level = later(level, accepted).Add(b.interval)
		}
		a.level = level
		if a.job.excess != before {
			changed(a.job)
		}
	}
}

// exceeds reports whether a job that is added now would be marked.
func (b *bucket) exceeds(accepted time.Time) bool {
	n, _ := slices.BinarySearchFunc(b.jobs[:b.marked], accepted, func(a acceptance, accepted time.Time) int {
		return cmp.Or(a.job.AcceptedAt.Compare(accepted), -1)
	})
	return n > 0 && b.jobs[n-1].level.After(accepted.Add(b.tolerance))
}

// forget drops the jobs that are not kept any more. They were accepted so long ago that the bucket
// is full again for later ones.
func (b *bucket) forget(kept map[job.ID]*jobEntry, changed func(*jobEntry)) {
	b.mark(changed)
	b.jobs = slices.DeleteFunc(b.jobs, func(a acceptance) bool {
		return kept[a.job.ID] != a.job
	})
	b.marked = len(b.jobs)
}

// longRunning reports whether the job has long-running tasks.
func (e *jobEntry) longRunning() bool {
	return slices.ContainsFunc(e.Steps, func(s job.Step) bool { return s.LongRunning })
}
