package site

import (
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangs tracks which members of each gang run have started.
type gangs struct {
	mu sync.Mutex
	// joined maps each gang run to its members that have joined.
	joined map[gangKey]map[int]gangMember
}

// gangMember is a member of a gang that has started.
type gangMember struct {
	// checkpoint is the one that it resumes from.
	checkpoint string
	// begin starts its work.
	begin func()
}

// gangKey identifies one run of a gang.
type gangKey struct {
	step string
	run  int64
}

func (k runKey) gang() gangKey { return gangKey{k.task.StepName(), k.run} }

// join adds a member; once all members have joined with the same checkpoint, each of them begins to
// work.
func (g *gangs) join(key runKey, members int, checkpoint string, begin func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	joined, ok := g.joined[key.gang()]
	if !ok {
		joined = map[int]gangMember{}
		g.joined[key.gang()] = joined
	}
	joined[key.task.Index] = gangMember{checkpoint, begin}
	if len(joined) < members {
		return
	}
	for _, member := range joined {
		if member.checkpoint != checkpoint {
			return
		}
	}
	for _, member := range joined {
		time.AfterFunc(0, member.begin)
	}
}

// leave removes a member.
func (g *gangs) leave(key runKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.joined[key.gang()], key.task.Index)
}

// awaitGang ends a member if the others have not joined within gangTimeout. The caller
// holds the worker's lock.
func (w *Worker) awaitGang(r *taskRun) {
	r.timer = time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] == r && !w.dead && !r.working {
			w.end(r, worker.OutcomeGangIncomplete)
		}
	})
}

// endGang ends the remaining members of a gang's run on all workers, on the given worker
// last: a gang succeeds or breaks as a whole.
// It runs on a goroutine of its own, because the caller holds a worker's lock.
func (s *Site) endGang(key runKey, outcome worker.Outcome, origin *Worker) {
	if outcome != worker.OutcomeDone {
		outcome = worker.OutcomeGangBroken
	}
	time.AfterFunc(0, func() {
		s.mu.Lock()
		workers := make([]*Worker, 0, len(s.workers))
		for _, w := range s.workers {
			if w != origin {
				workers = append(workers, w)
			}
		}
		s.mu.Unlock()
		for _, w := range workers {
			w.endMembers(key, outcome)
		}
		origin.endMembers(key, outcome)
	})
}

func (w *Worker) endMembers(key runKey, outcome worker.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	for other, r := range w.runs {
		if other.run == key.run && other.task.StepName() == key.task.StepName() {
			w.end(r, outcome)
		}
	}
}
