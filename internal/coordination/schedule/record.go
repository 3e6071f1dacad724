package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// Unrecorded is what has ended since the last record, to be written in one go.
type Unrecorded struct {
	// Progress has the whole progress of each job that changed.
	Progress map[job.ID][]byte
	finals   map[job.ID]job.State
	placed   []*run
	ends     map[worker.ID]endMark
}

type endMark struct {
	life   worker.Life
	number int64
}

// Empty tells whether there is nothing to write and nothing to let workers forget.
func (u *Unrecorded) Empty() bool { return len(u.Progress) == 0 && len(u.ends) == 0 }

// TakeUnrecorded gives what is to be written. Until Recorded or Unwritten is
// called, nothing else may be taken.
func (p *Pool) TakeUnrecorded() (Unrecorded, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := Unrecorded{Progress: map[job.ID][]byte{}, finals: map[job.ID]job.State{}, ends: map[worker.ID]endMark{}}
	for id, e := range p.jobs {
		if !e.dirty {
			continue
		}
		e.Placements, u.placed = e.placements(u.placed)
		data, err := e.MarshalProgress()
		if err != nil {
			return u, err
		}
		u.Progress[id] = data
		u.finals[id] = e.Final()
		e.dirty = false
	}
	for id, h := range p.hosts {
		if h.noted != h.processed {
			u.ends[id] = endMark{h.life, h.processed}
		}
	}
	return u, nil
}

// placements lists the runs that may be on hosts once this is recorded; those that
// wait for it are added to waiting.
func (e *entry) placements(waiting []*run) ([]jobs.Placement, []*run) {
	if e.Ended() {
		return nil, waiting
	}
	var placed []jobs.Placement
	for _, s := range e.steps {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				placed = append(placed, jobs.Placement{Task: r.name, Run: r.number, Host: r.host.report.ID})
				if r.unsent {
					waiting = append(waiting, r)
				}
			}
		}
	}
	return placed, waiting
}

// Recorded notes that all of it is in the log: workers may forget the ends, callers
// be told of them, and the starts that are given be sent.
func (p *Pool) Recorded(u Unrecorded, now time.Time) []Start {
	p.mu.Lock()
	defer p.mu.Unlock()
	var starts []Start
	for _, r := range u.placed {
		switch {
		case r.host.runs[r.key()] != r || !r.unsent:
		case r.state != recording || r.task.step.entry.Ended() || r.task.done() || !r.host.reachable():
			p.abandon(r, now)
		default:
			starts = append(starts, p.startOrder(r, now))
		}
	}
	for id, final := range u.finals {
		if e, ok := p.jobs[id]; ok && e.recorded == "" && final != "" {
			e.recorded = final
			p.events.Event("job-recorded", "job", id, "pool", p.name, "state", final, "after", now.Sub(e.EndedAt))
		}
	}
	for id, mark := range u.ends {
		if h, ok := p.hosts[id]; ok && h.life == mark.life {
			h.noted = max(h.noted, mark.number)
		}
	}
	return starts
}

// Unwritten gives back what could not be written.
func (p *Pool) Unwritten(u Unrecorded) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range u.Progress {
		if e, ok := p.jobs[id]; ok {
			e.dirty = true
		}
	}
}
