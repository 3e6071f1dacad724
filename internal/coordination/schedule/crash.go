package schedule

import (
	"slices"
	"time"
)

const (
	// startupTime is how long after the start of a run a crash of its host is put down to the run.
	startupTime = 150 * time.Millisecond
	// soundRunTime is how long a run must have worked for a crash of its host not to count
	// against its task, and for the earlier ones to be forgotten.
	soundRunTime = 2 * time.Second
	// silenceOfACutOff is less than the time after which a lease renewal without an answer fails.
	silenceOfACutOff = 500 * time.Millisecond
	// blamedCrashes is the number of crashes after which a task is given up if no other job
	// can be the cause of the last one, likelyCrashes if every other job in question had
	// nothing to do with an earlier one, and maxCrashes the number after which it is given up
	// in any case.
	blamedCrashes = 2
	likelyCrashes = 3
	maxCrashes    = 4
)

// hostCrashed counts the crash of a host, which came before until, against the tasks whose runs are
// lost with it. A host that was told to leave has not crashed.
func (p *Pool) hostCrashed(h *host, until, now time.Time) {
	if h.wasToldToLeave() {
		return
	}
	h.lastStart = time.Time{}
	starting, working := h.lostRuns(until)
	if len(starting)+len(working) == 0 {
		return
	}
	for _, r := range slices.Concat(starting, working) {
		r.lost = true
	}
	p.events.Event("host-crashed", "host", h.report.ID, "pool", p.name, "life", h.incarnation, "heard", h.heardAt,
		"starting", len(starting), "working", len(working))
	if !p.blameStarting(starting, now) {
		p.blameWorking(working, len(starting), now)
	}
}

// lostRuns returns the runs of tasks that are still needed and were lost in a crash before until:
// those that were starting and those that the host has borne for a while.
func (h *host) lostRuns(until time.Time) (starting, working []*run) {
	for _, r := range h.lapsed {
		if r.needed() && !r.lost {
			starting = append(starting, r)
		}
	}
	for _, r := range h.runs {
		switch {
		case !r.needed() || r.lost || r.mayBeOnNext(until):
		case r.starting():
			starting = append(starting, r)
		default:
			working = append(working, r)
		}
	}
	return starting, working
}

// needed reports whether the loss of a run concerns a task that is still needed.
func (r *run) needed() bool { return !r.unsent && !r.task.step.job.Ended() && !r.task.done() }

// starting reports whether a run may be the cause if its host crashes now.
func (r *run) starting() bool { return r.workedFor() < r.task.trialTime() }

// blameStarting counts a crash against the runs that were starting, and reports whether one of
// them was the cause.
func (p *Pool) blameStarting(starting []*run, now time.Time) bool {
	var causes, suspects []*run
	for _, r := range starting {
		p.countCrash(r, now)
		if isCause(r, starting) {
			causes = append(causes, r)
		} else {
			suspects = append(suspects, r)
		}
	}
	for _, r := range causes {
		p.giveUp(r, len(starting), now)
	}
	for _, r := range suspects {
		p.suspect(r, len(starting), now)
	}
	return len(causes) > 0
}

// blameWorking counts a crash, for which no cause is known, against the runs that the host has
// borne for a while.
func (p *Pool) blameWorking(working []*run, starting int, now time.Time) {
	for _, r := range working {
		if r.workedFor() >= soundRunTime {
			p.clearCrashes(r.task)
			continue
		}
		p.countCrash(r, now)
		switch crashes := r.task.crashes(); {
		case crashes >= maxCrashes:
			p.giveUp(r, starting, now)
		case crashes >= likelyCrashes:
			p.suspect(r, starting, now)
		}
	}
}

// trialTime returns how long after its start a run of the task may be the cause of a crash. It
// is longer once so many hosts have crashed under the task that it may be one that crashes them
// later.
func (t *task) trialTime() time.Duration {
	if t.crashes() >= likelyCrashes {
		return soundRunTime
	}
	return startupTime
}

// age returns how long ago a run was placed, by its host's clock; 0 if that is not known.
func (r *run) age() time.Duration {
	if r.placedAt == 0 {
		return 0
	}
	return max(0, r.host.clock-r.placedAt)
}

// workedFor returns the time for which the host is known to have borne a run. A run of an
// earlier owner that the host has not reported may have been started just before the crash.
func (r *run) workedFor() time.Duration {
	if r.state == stateInherited {
		return 0
	}
	return max(0, r.host.heardAt.Sub(r.sentAt))
}

// countCrash counts the crash of a host against a run. The crash is weak evidence if the host
// may not have begun the run or not have crashed, or has or may have borne the run for a while, as
// one that an earlier owner started.
func (p *Pool) countCrash(r *run, now time.Time) {
	s := r.task.step
	if !s.job.MarkCrashed(s.occurrence, s.number, r.task.index, r.number) {
		return
	}
	p.markDirty(s.job)
	if r.startedAt.IsZero() || r.unconfirmed || r.adopted || r.host.uncertain(now) || r.workedFor() >= startupTime {
		r.task.weakCrashes++
	}
	p.suspects[r.task] = struct{}{}
}

// uncertain reports whether the host may have ended otherwise, or later, than by a crash under the
// runs that were starting: it was cut off or about to be ordered away, or only its silence is known.
func (h *host) uncertain(now time.Time) bool {
	return h.wasCutOff() || h.leaving || !now.Before(h.expiry)
}

func (p *Pool) clearCrashes(t *task) {
	t.weakCrashes = 0
	if t.step.job.ClearCrashes(t.step.occurrence, t.step.number, t.index) {
		p.markDirty(t.step.job)
	}
}

func (t *task) crashes() int {
	return t.step.job.Crashes(t.step.occurrence, t.step.number, t.index)
}

// isCause reports whether a run caused the crash that was just counted, as far as can be told
// from the other runs that were starting on the host, and from the earlier crashes.
func isCause(r *run, starting []*run) bool {
	crashes := r.task.crashes()
	if crashes >= maxCrashes || r.state == stateInherited {
		// An inherited run may have worked for long.
		return crashes >= maxCrashes
	}
	alone, onlySuspect := true, r.task.suspected()
	for _, other := range starting {
		if other.task.step.job == r.task.step.job {
			continue
		}
		alone = false
		onlySuspect = onlySuspect && !other.task.suspected()
	}
	strong := crashes - r.task.weakCrashes
	return alone && strong >= blamedCrashes || onlySuspect && strong >= likelyCrashes
}

// giveUp fails the job of a task that crashes its hosts.
func (p *Pool) giveUp(r *run, starting int, now time.Time) {
	e := r.task.step.job
	if e.Ended() {
		return
	}
	e.Fail(now)
	p.markDirty(e)
	p.hasGivenUp = true
	p.events.Event("job-failed", "job", e.ID, "pool", p.name, "task", r.name, "reason", "crashes-hosts", "crashes", r.task.crashes(),
		"suspects", starting, "host", r.host.report.ID)
}
