package site

import (
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// gangTime is how long a member of a gang waits for the others.
const gangTime = 3 * time.Second

// gangs knows which members of which gangs are there.
type gangs struct {
	mu      sync.Mutex
	present map[gangKey]map[int]func()
}

// gangKey is one run of a gang.
type gangKey struct {
	step string
	run  int64
}

func (k runKey) gang() gangKey { return gangKey{k.task.StepName(), k.run} }

// join adds a member; when all are there, each of them begins to work.
func (g *gangs) join(key runKey, members int, begin func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	there, ok := g.present[key.gang()]
	if !ok {
		there = map[int]func(){}
		g.present[key.gang()] = there
	}
	there[key.task.Index] = begin
	if len(there) < members {
		return
	}
	for _, member := range there {
		time.AfterFunc(0, member)
	}
}

// leave takes a member off.
func (g *gangs) leave(key runKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.present[key.gang()], key.task.Index)
}

// awaitGang ends a member that has waited too long for the others; the worker's lock is held.
func (w *Worker) awaitGang(r *taskRun) {
	r.timer = time.AfterFunc(gangTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.key] == r && !w.dead && !r.working {
			w.end(r, worker.HowAlone)
		}
	})
}

// endGang ends the other members of a gang: they end well together, and break together.
func (s *Site) endGang(key runKey, how worker.How, except *Worker) {
	if how != worker.HowDone {
		how = worker.HowBroken
	}
	time.AfterFunc(0, func() {
		s.mu.Lock()
		workers := make([]*Worker, 0, len(s.workers))
		for _, w := range s.workers {
			if w != except {
				workers = append(workers, w)
			}
		}
		s.mu.Unlock()
		for _, w := range workers {
			w.endMembers(key, how)
		}
		except.endMembers(key, how)
	})
}

func (w *Worker) endMembers(key runKey, how worker.How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	for other, r := range w.runs {
		if other.run == key.run && other.task.StepName() == key.task.StepName() {
			w.end(r, how)
		}
	}
}
