package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Unrecorded is what has changed since the last record, to be written in one append.
type Unrecorded struct {
	// Progress holds, for each job that changed, the parts of its progress that did.
	Progress      map[job.ID][]jobs.Part
	finalStates   map[job.ID]job.State
	pendingStarts []*run
	received      map[worker.ID]receivedEnd
}

type receivedEnd struct {
	incarnation worker.Incarnation
	number      int64
}

// Empty reports whether there is nothing to write and no ended run to acknowledge.
func (u *Unrecorded) Empty() bool { return len(u.Progress) == 0 && len(u.received) == 0 }

// TakeUnrecorded returns what is to be written. It must not be called again before
// Recorded or RecordFailed.
func (p *Pool) TakeUnrecorded() (Unrecorded, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Unrecorded{Progress: map[job.ID][]jobs.Part{}, finalStates: map[job.ID]job.State{}, received: map[worker.ID]receivedEnd{}}
	for id, e := range p.dirty {
		e.Placements, u.pendingStarts = e.placements(u.pendingStarts)
		parts, err := e.ChangedParts()
		if err != nil {
			for taken := range u.Progress {
				p.jobs[taken].PartsNotWritten()
				p.markDirty(p.jobs[taken])
			}
			return Unrecorded{}, err
		}
		u.Progress[id] = parts
		u.finalStates[id] = e.FinalState()
		delete(p.dirty, id)
	}
	for id, h := range p.unacknowledged {
		if h.acknowledged == h.received {
			delete(p.unacknowledged, id)
			continue
		}
		u.received[id] = receivedEnd{h.incarnation, h.received}
	}
	return u, nil
}

// placements returns the runs that may be on hosts once this is recorded; there are none of
// a job that has ended. Runs whose start waits for the record are added to pendingStarts,
// whatever the job's state, since Recorded is what releases them.
func (e *jobEntry) placements(pendingStarts []*run) ([]jobs.Placement, []*run) {
	var placed []jobs.Placement
	for _, r := range e.runs {
		if !e.Ended() {
			placed = append(placed, jobs.Placement{
				Task: r.name, Run: r.number, Host: r.host.report.ID, Incarnation: r.host.incarnation, PlacedAt: r.placedAt,
			})
		}
		if r.unsent && !r.queued {
			pendingStarts = append(pendingStarts, r)
		}
	}
	return placed, pendingStarts
}

// Recorded marks all of u as written to the log. From then on ended runs may be
// acknowledged to their workers and final states shown to callers, and the starts that
// it returns may be sent.
func (p *Pool) Recorded(u Unrecorded, now time.Time) []Start {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropUnfit(u.pendingStarts, now)
	var starts []Start
	for _, r := range u.pendingStarts {
		switch {
		case r.host.runs[r.key()] != r || !r.unsent || r.queued:
		case !r.wanted() || !r.host.reachable():
			p.dropStart(r, now)
		default:
			starts = append(starts, p.startOrder(r))
		}
	}
	for id, final := range u.finalStates {
		if e, ok := p.jobs[id]; ok && e.recordedState == "" && final != "" {
			e.recordedState = final
			p.events.Event("job-recorded", "job", id, "pool", p.name, "state", final, "after", now.Sub(e.EndedAt))
		}
	}
	for id, mark := range u.received {
		if h, ok := p.hosts[id]; ok && h.incarnation == mark.incarnation {
			h.acknowledged = max(h.acknowledged, mark.number)
		}
	}
	return starts
}

// RecordFailed returns to the pool what could not be written, to be taken again.
func (p *Pool) RecordFailed(u Unrecorded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range u.Progress {
		if e, ok := p.jobs[id]; ok {
			e.PartsNotWritten()
			p.markDirty(e)
		}
	}
}

// Refused gives up a job of which the log refuses a record for good. What it runs is stopped.
func (p *Pool) Refused(id job.ID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.jobs[id]
	if !ok || e.Ended() {
		return
	}
	e.Fail(now)
	p.markDirty(e)
	p.hasGivenUp = true
	p.events.Event("job-failed", "job", id, "pool", p.name, "reason", "record-refused", "runs", len(e.runs))
}
