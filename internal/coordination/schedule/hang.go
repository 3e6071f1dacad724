package schedule

import (
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// hangFactor is the multiple of its expected time after which a run that shows no work counts
	// as hanging. The factor is large because estimates are rough.
	hangFactor = 4
	// minHangTime is the least time that a run must last before it counts as hanging.
	minHangTime = 3 * time.Second
	// workingPatience is how many times longer a run may last that shows work.
	workingPatience = 8
	// workShare is the share of the processor time that a task asks for from which on its use
	// shows that the run works.
	workShare = 0.1
	// maxIdleTime is how long a run may use no processor time before it counts as hanging.
	// It leaves time to restore a checkpoint and allows for the coarse measurement of usage.
	maxIdleTime = 1500 * time.Millisecond
	// maxPatienceDoublings bounds how often the patience with a task doubles.
	maxPatienceDoublings = 12
)

// hangs reports whether a run is to be stopped because it hangs: it uses no processor time, or
// lasts far longer than expected, as do the other runs of its task. Since that may be the nature
// of the task, each such stop doubles the patience with its next run.
func (p *Pool) hangs(r *run, now time.Time) bool {
	def := r.task.step.def
	if r.state != stateRunning || def.LongRunning || def.BestEffort || r.speed < fullSpeed {
		return false
	}
	return r.idles(now) || !slices.ContainsFunc(r.task.runs, func(other *run) bool {
		return other.state != stateStopping && (other.state != stateRunning || !p.overdue(other, now))
	})
}

// idles reports whether a run has used no processor time for too long. One that asks for none, or
// whose use its host does not measure, never does, nor do members of a gang, which wait for each
// other, or tasks with a tail target, of which the host measures that.
func (r *run) idles(now time.Time) bool {
	def := r.task.step.def
	return !def.Gang && def.Needs.CPU > 0 && def.TailTarget == 0 && !r.idleSince.IsZero() && now.Sub(r.idleSince) > r.patience(maxIdleTime)
}

// overdue reports whether a run lasts far longer than expected.
func (p *Pool) overdue(r *run, now time.Time) bool {
	def := r.task.step.def
	longest := max(minHangTime, hangFactor*p.estimates.expected(r.task.step.job.Queue, def.Estimate))
	if def.OneRack || (def.DataRack != "" && def.DataRack != r.host.report.Rack) {
		longest = time.Duration(float64(longest) * max(1, p.limits.RemoteDataFactor))
	}
	if r.showsWork(now) {
		longest *= workingPatience
	}
	return now.Sub(r.startedAt) > r.patience(longest)
}

// showsWork reports whether the host has lately listed the run as using the processor, or with
// another checkpoint.
func (r *run) showsWork(now time.Time) bool {
	return !r.workedAt.IsZero() && now.Sub(r.workedAt) <= maxIdleTime
}

// patience returns how long a run may last or idle where the first one of its task may for d.
func (r *run) patience(d time.Duration) time.Duration {
	return d << min(r.earlierHangs, maxPatienceDoublings)
}

// stopHanging stops a run that hangs. A gang is stopped whole, since the host of any member may be
// the cause. Whether the host is at fault shows where the task runs next; it is suspected at once
// if other runs of the step have shown work.
func (p *Pool) stopHanging(r *run, now time.Time) {
	s := r.task.step
	p.events.Event("run-hangs", "task", r.name, "run", r.number, "host", r.host.report.ID, "lasted", now.Sub(r.startedAt),
		"expected", p.estimates.expected(s.job.Queue, s.def.Estimate), "shows-work", r.showsWork(now), "idle", r.idles(now),
		"usage", r.usage, "earlier", r.earlierHangs, "step-works", s.worked)
	if s.def.Gang {
		for _, t := range s.tasks {
			t.hangs++
		}
		p.stopGang(s, "hangs")
		return
	}
	r.task.avoidHost = r.host.report.ID
	if idle := r.idles(now); idle && s.worked {
		r.host.health.suspect(now)
	} else {
		r.task.hungOn = &hang{host: r.host.report.ID, idle: idle, lasted: now.Sub(r.startedAt)}
	}
	r.task.hangs++
	p.stop(r, "hangs")
}

// hang is the last run of a task that was stopped because it hung, until it is known whether the
// host was at fault.
type hang struct {
	host worker.ID
	// idle is set if the run used no processor time.
	idle bool
	// lasted is how long it was there.
	lasted time.Duration
}

// showedWork is called when a run is listed as working: if its task idled on another host, that
// one is at fault.
func (p *Pool) showedWork(r *run, now time.Time) {
	r.workedAt, r.task.step.worked = now, true
	if h := r.task.hungOn; h != nil && h.idle && h.host != r.host.report.ID {
		r.task.hungOn = nil
		p.suspectHost(h.host, now)
	}
}

// doneAfterHang is called when a run of a task has succeeded: if that took less time than the task
// was given on another host, that one counts as having failed it.
func (p *Pool) doneAfterHang(r *run, now time.Time) {
	h := r.task.hungOn
	if h == nil {
		return
	}
	r.task.hungOn = nil
	if failed, ok := p.hosts[h.host]; ok && h.host != r.host.report.ID && now.Sub(r.startedAt) < h.lasted {
		failed.health.failed(now, r.name.Job)
	}
}

func (p *Pool) suspectHost(id worker.ID, now time.Time) {
	h, ok := p.hosts[id]
	if !ok {
		return
	}
	p.events.Event("host-suspected", "host", id, "pool", p.name, "runs", len(h.runs))
	h.health.suspect(now)
}
