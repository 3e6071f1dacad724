package schedule

import (
	"slices"
	"time"
)

// lapsedRetention bounds how long it may stay unknown whether a silent worker has crashed.
const lapsedRetention = 2 * time.Minute

// keepLapsed keeps the starting ones of the runs of a silent host whose leases have expired. Its worker may
// have crashed, which only the list of machines or an answer shows. One that was cut off has ended them
// before it can crash.
func (p *Pool) keepLapsed(h *host, ended []*run, now time.Time) {
	if now.Sub(h.expiry) > lapsedRetention {
		h.forgetLapsed()
	}
	if h.wasToldToLeave() || h.wasCutOff() {
		return
	}
	for _, r := range ended {
		if r.needed() && r.starting() {
			h.lapsed = append(h.lapsed, r)
			r.task.lapsedRuns++
			p.suspects[r.task] = struct{}{}
			if r.state != stateInherited {
				p.watch(r.task, now)
			}
			p.events.Event("crash-unknown", "task", r.name, "run", r.number, "host", h.report.ID, "heard", h.heardAt,
				"crashes", r.task.crashes(), "unknown", r.task.lapsedRuns)
		}
	}
}

// forgetLapsed is called once it is known whether the worker has crashed.
func (h *host) forgetLapsed() {
	for _, r := range h.lapsed {
		r.task.lapsedRuns--
	}
	h.lapsed = nil
}

// clearLapsed forgets the lapsed runs of a task that a host has survived since.
func (p *Pool) clearLapsed(t *task) {
	for _, h := range p.hosts {
		h.lapsed = slices.DeleteFunc(h.lapsed, func(r *run) bool { return r.task == t })
	}
	t.lapsedRuns = 0
}

// heldBack reports whether a task waits until it is known which of its hosts have crashed, since
// it may not be started again if all of them have.
func (t *task) heldBack() bool {
	unknown := t.lapsedRuns
	for _, r := range t.runs {
		if r.needed() && r.starting() && !r.host.confirmed {
			unknown++
		}
	}
	return unknown > 0 && t.crashes()+unknown >= maxCrashes
}
