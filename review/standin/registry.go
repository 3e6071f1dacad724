package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step as a client submits it, with how long its tasks really work.
type stepSpec struct {
	Count     int   `json:"count"`
	CPU       int64 `json:"cpu,omitempty"`
	MemoryMB  int64 `json:"mem-mb,omitempty"`
	GPU       int64 `json:"gpu,omitempty"`
	Estimate  int64 `json:"estimate-ms,omitempty"`
	DependsOn []int `json:"depends-on,omitempty"`
	Saves     bool  `json:"saves-progress,omitempty"`
	Gang      bool  `json:"gang,omitempty"`
	// Apart is the most tasks of the step on one worker.
	Apart int `json:"anti-affinity,omitempty"`

	work time.Duration
	// deadlyAfter is how long after its start a task crashes its worker, 0 if it does not.
	deadlyAfter time.Duration
}

// submission is a job that a client hands in.
type submission struct {
	id    string
	steps []stepSpec
}

func (s *submission) body() []byte {
	data, err := json.Marshal(map[string]any{"spec": "job " + s.id, "steps": s.steps})
	if err != nil {
		panic(err)
	}
	return data
}

// registry knows what clients submitted, and what has run of it on all workers.
type registry struct {
	record *record
	// quiet leaves the runs of a submission out of the record.
	quiet map[string]bool

	mu    sync.Mutex
	jobs  map[string]*submission
	gangs map[string]*gang
	// live counts the runs of each task that are on workers now, doneAt is when one ended done.
	live   map[string]int
	doneAt map[string]time.Time
	// liveOf, doneOf and startsBy count by job: its live runs, its done tasks and its starts.
	liveOf, doneOf, startsBy map[string]int
	ends                     []runEnd
	// doubled lists the tasks that ran twice.
	doubled []string
	// mixed lists the gang runs whose members were started with different checkpoints.
	mixed []string
}

// runEnd is the end of a run on a worker.
type runEnd struct {
	task string
	run  int64
	how  string
	at   time.Time
}

func newRegistry(r *record) *registry {
	return &registry{
		record: r, quiet: map[string]bool{}, jobs: map[string]*submission{}, gangs: map[string]*gang{}, live: map[string]int{},
		doneAt: map[string]time.Time{}, liveOf: map[string]int{}, doneOf: map[string]int{}, startsBy: map[string]int{},
	}
}

func (g *registry) submit(s *submission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[s.id] = s
}

// step returns the step of a task by its name, ID.K.STEP.INDEX.
func (g *registry) step(task string) (*stepSpec, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, false
	}
	number, err := strconv.Atoi(parts[2])
	g.mu.Lock()
	defer g.mu.Unlock()
	job, ok := g.jobs[parts[0]]
	if err != nil || !ok || number >= len(job.steps) {
		return nil, false
	}
	return &job.steps[number], true
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (g *registry) started(worker, service string, r *taskRun) {
	if !g.quiet[jobOf(r.task)] {
		g.record.add("run   %s run %d starts on %s of %s, checkpoint %q", r.task, r.number, worker, service, r.saved)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	id := jobOf(r.task)
	g.startsBy[id]++
	g.liveOf[id]++
	g.live[r.task]++
	switch done, ended := g.doneAt[r.task]; {
	case g.live[r.task] > 1:
		g.doubled = append(g.doubled, fmt.Sprintf("%s run %d on %s of %s while another run of it goes on", r.task, r.number, worker, service))
	case ended:
		g.doubled = append(g.doubled, fmt.Sprintf("%s run %d on %s of %s, %.1f s after a run of it ended done", r.task, r.number, worker, service, time.Since(done).Seconds()))
	}
}

func (g *registry) ended(worker string, r *taskRun, how string) {
	if !g.quiet[jobOf(r.task)] {
		g.record.add("run   %s run %d ends %s on %s, saved %q", r.task, r.number, how, worker, r.saved)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live[r.task]--
	g.liveOf[jobOf(r.task)]--
	if _, known := g.doneAt[r.task]; how == "done" && !known {
		g.doneAt[r.task] = time.Now()
		g.doneOf[jobOf(r.task)]++
	}
	g.ends = append(g.ends, runEnd{r.task, r.number, how, time.Now()})
}

// endsOf returns the ends of a kind after a time.
func (g *registry) endsOf(how string, after time.Time) []runEnd {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []runEnd
	for _, e := range g.ends {
		if e.how == how && e.at.After(after) {
			found = append(found, e)
		}
	}
	return found
}

// startsOf returns how many runs of a job's tasks have started.
func (g *registry) startsOf(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startsBy[id]
}

// gang is one run of a gang: it works from when all members are present with one checkpoint.
type gang struct {
	members map[string]*taskRun
}

// joinGang adds a run to its gang and returns all members once they can work together.
func (g *registry) joinGang(r *taskRun, size int) []*taskRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := r.gangKey()
	found, ok := g.gangs[key]
	if !ok {
		found = &gang{members: map[string]*taskRun{}}
		g.gangs[key] = found
	}
	found.members[r.task] = r
	var present []*taskRun
	for _, other := range found.members {
		if other.begunWith != r.begunWith {
			g.mixed = append(g.mixed, fmt.Sprintf("%s run %d: %s carries %q, %s carries %q", key, r.number, r.task, r.begunWith, other.task, other.begunWith))
			return nil
		}
		present = append(present, other)
	}
	if len(present) < size {
		return nil
	}
	return present
}

// leaveGang removes a run from its gang and returns the other members.
func (g *registry) leaveGang(r *taskRun) []*taskRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	found, ok := g.gangs[r.gangKey()]
	if !ok {
		return nil
	}
	delete(found.members, r.task)
	others := make([]*taskRun, 0, len(found.members))
	for _, other := range found.members {
		others = append(others, other)
	}
	return others
}

func (r *taskRun) gangKey() string {
	return r.task[:strings.LastIndex(r.task, ".")] + "#" + strconv.FormatInt(r.number, 10)
}
