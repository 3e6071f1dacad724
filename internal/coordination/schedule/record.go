package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Unrecorded is what has ended since the last record, to be written in one go.
type Unrecorded struct {
	// Progress has the whole progress of each job that changed.
	Progress map[job.ID][]byte
	finals   map[job.ID]job.State
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

// Recorded notes that all of it is in the log: workers may forget the ends, and
// callers be told of them.
func (p *Pool) Recorded(u Unrecorded, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
