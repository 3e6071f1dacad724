package schedule

import (
	"maps"
	"math"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// defaultWeight is the weight of the jobs without an organisation, and of an organisation whose
	// weight the configuration does not have or which is no positive number.
	defaultWeight = 1.0
	// minWeight is the lowest weight, in jobs per second; lower ones would overflow the time between
	// two jobs that are not excess.
	minWeight = 1e-3
)

// fairShares holds the fair share of each organisation with jobs in the pool.
type fairShares struct {
	// weights are those of the configuration, in jobs per second.
	weights map[string]float64
	all     map[string]*fairShare
	// capacity is that of the pool's listed hosts as of the present plan.
	capacity worker.Resources
	// active holds the open jobs that are in no waiting queue.
	active map[job.ID]*jobEntry
	// plan is the number of the last plan.
	plan int64
	// backlog is what waited when it was last needed.
	backlog backlog
	order   minHeap[*fairShare]
	// served is the organisation for which a task was placed last in the present plan, or nil.
	served *fairShare
}

// fairShare is what an organisation uses of the pool, and the order of its jobs. Jobs without an
// organisation share one.
type fairShare struct {
	organisation string
	weight       float64
	// used is what the organisation's runs reserve on the pool's hosts.
	used worker.Resources
	// level is the dominant share divided by the weight as of the present plan.
	level  float64
	bucket bucket
	// queue holds the jobs of which nothing has been started, active the candidates of the others
	// in the present plan.
	queue  waitingQueue
	active minHeap[candidate]
	// least is in each dimension at most what any candidate needs. noRoom is set once no host has
	// room for that.
	least  worker.Resources
	noRoom bool
	// waiting is the job that was tried when noRoom was set.
	waiting job.ID
	// first is the next candidate in the present plan, and source where it is from.
	first  candidate
	source *minHeap[candidate]
	// rejected counts the jobs that Admit refused, tooLate those that were accepted and ended after
	// their result had lost its value.
	rejected, tooLate int64
	// rejectedAt and waitsAt are when it was last logged that jobs are rejected, and that they wait.
	rejectedAt, waitsAt time.Time
}

// SetWeights sets the weights of organisations, in jobs per second. With nil, which stands for a
// configuration without organisations, jobs are placed without regard to their organisation.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case weights == nil && p.shares == nil:
		return
	case weights == nil:
		p.shares = nil
		for _, e := range p.jobs {
			e.share, e.excess, e.activeSince = nil, false, 0
		}
		return
	case p.shares == nil:
		p.plans++
		p.shares = &fairShares{all: map[string]*fairShare{}, active: map[job.ID]*jobEntry{}, plan: p.plans, order: minHeap[*fairShare]{less: (*fairShare).before}}
	case maps.Equal(weights, p.shares.weights):
		return
	}
	p.shares.weights = maps.Clone(weights)
	for name, f := range p.shares.all {
		f.setWeight(p.shares.weight(name))
	}
	for _, e := range p.jobs {
		if e.share == nil {
			p.addToShare(e)
		}
	}
}

func (s *fairShares) weight(organisation string) float64 {
	w, ok := s.weights[organisation]
	if !ok || math.IsNaN(w) || w <= 0 {
		return defaultWeight
	}
	return max(minWeight, w)
}

func (f *fairShare) setWeight(weight float64) {
	if f.weight != weight {
		f.weight = weight
		f.bucket.setRate(weight)
	}
}

// of returns the share of an organisation, which it adds if there is none.
func (s *fairShares) of(organisation string) *fairShare {
	f, ok := s.all[organisation]
	if !ok {
		f = &fairShare{organisation: organisation, queue: newWaitingQueue(), active: minHeap[candidate]{less: sharesBefore}}
		f.setWeight(s.weight(organisation))
		s.all[organisation] = f
	}
	return f
}

// addToShare counts a job and what it runs for its organisation.
func (p *Pool) addToShare(e *jobEntry) {
	f := p.shares.of(e.Organisation)
	e.share = f
	for _, r := range e.runs {
		f.used = f.used.Plus(r.needs)
	}
	f.bucket.add(e)
	switch {
	case e.Ended():
	case len(e.runs) == 0 && !e.started && e.queueable():
		f.queue.add(e)
	default:
		p.shares.activate(e)
	}
}

// forgetShares drops the jobs that were forgotten, and the organisations without jobs that the
// configuration does not have.
func (p *Pool) forgetShares(forgotten []Forgotten) {
	if p.shares == nil || len(forgotten) == 0 {
		return
	}
	for name, f := range p.shares.all {
		f.bucket.forget(p.jobs, f.queue.remarked)
		if _, configured := p.shares.weights[name]; !configured && len(f.bucket.jobs) == 0 {
			delete(p.shares.all, name)
		}
	}
}

func (f *fairShare) updateLevel(capacity worker.Resources) {
	share := max(fraction(f.used.CPU, capacity.CPU), fraction(f.used.MemoryMB, capacity.MemoryMB),
		fraction(f.used.Accelerators, capacity.Accelerators))
	f.level = share / f.weight
}

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
