package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// checker judges the rules by what clients, workers and the machine service see.
type checker struct {
	site *site

	mu sync.Mutex
	// active holds the runs of each task that are at work, with their workers.
	active map[string]map[int64]*life
	// doneAt holds when an end "done" of a task was taken note of.
	doneAt map[string]time.Time
	// cancelledAt holds when the cancelling of a submission was acknowledged.
	cancelledAt map[string]time.Time
	failed      map[string]int
	starts      int
	breaks      []string
	// startsOf counts the runs of each task.
	startsOf map[string]int
	// ordered holds the tasks whose last run was ended by an order.
	ordered map[string]bool
	// calmFrom is from when on all entry hosts are in touch again.
	calmFrom time.Time
}

const (
	// cancelTime and contactTime are the bounds cancel_ms and contact-ms.
	cancelTime  = 3 * time.Second
	contactTime = 3 * time.Second
)

// disturbed notes that an entry host is disturbed until now.
func (c *checker) disturbed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmFrom = time.Now().Add(contactTime)
}

func (c *checker) calm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.calmFrom)
}

func newChecker(s *site) *checker {
	return &checker{site: s, active: map[string]map[int64]*life{}, doneAt: map[string]time.Time{}, cancelledAt: map[string]time.Time{}, failed: map[string]int{}, ordered: map[string]bool{}, startsOf: map[string]int{}}
}

func (c *checker) broken(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	c.site.rec.note("BROKEN %s", line)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks = append(c.breaks, line)
}

// started checks a start that a worker carries out; used is what its tasks then take.
func (c *checker) started(l *life, o order, step *stepDef, used resources) {
	if step.Requires != "" && !slices.Contains(l.labels, step.Requires) {
		c.broken("ROUTE", "task %s requires label %q and is started at %s, whose labels are %v", o.Task, step.Requires, l.id, l.labels)
	}
	if step.job.service != l.service {
		c.broken("ROUTE", "task %s of service %s is started at a worker of %s", o.Task, step.job.service, l.service)
	}
	if !l.guards && !used.fits(l.capacity) {
		c.broken("LIMIT", "start of %s brings %s to %+v of %+v", o.Task, l.id, used, l.capacity)
	}
	if step.AntiAffinity > 0 {
		prefix, beside := o.Task[:strings.LastIndex(o.Task, ".")+1], 1
		for _, r := range l.runs {
			if strings.HasPrefix(r.task, prefix) {
				beside++
			}
		}
		if beside > step.AntiAffinity {
			c.broken("ROUTE", "%d tasks of step %s on %s; at most %d are allowed", beside, prefix, l.id, step.AntiAffinity)
		}
	}
	c.mu.Lock()
	c.starts++
	c.startsOf[o.Task]++
	done, isDone := c.doneAt[o.Task]
	others := len(c.active[o.Task])
	if c.active[o.Task] == nil {
		c.active[o.Task] = map[int64]*life{}
	}
	c.active[o.Task][o.Run] = l
	delete(c.ordered, o.Task)
	cancelled, isCancelled := c.cancelledAt[step.job.id]
	failures := c.failed[o.Task]
	c.mu.Unlock()
	if others > 0 && !step.Speculative {
		c.broken("TWICE", "task %s runs twice: run %d is started at %s", o.Task, o.Run, l.id)
	}
	if isDone && !step.Speculative {
		c.broken("TWICE", "task %s is started %v after its end was taken note of", o.Task, time.Since(done))
	}
	if isCancelled && time.Since(cancelled) > cancelTime && c.calm() {
		c.broken("UNASKED", "task %s is started %v after its cancelling was acknowledged", o.Task, time.Since(cancelled))
	}
	if failures >= step.job.maxAttempts && !step.LongRunning {
		c.broken("BUDGET", "task %s is started after %d failures", o.Task, failures)
	}
	c.checkOrder(o, step)
}

func (c *checker) checkOrder(o order, step *stepDef) {
	if step.job.times > 0 {
		var k int
		_, _ = fmt.Sscanf(strings.Split(o.Task, ".")[1], "%d", &k)
		due := step.job.startAt.Add(time.Duration(k) * step.job.interval)
		if early := time.Until(due); early > 250*time.Millisecond {
			c.broken("ORDER", "task %s is started %v before its time", o.Task, early)
		}
	}
}

// runOver notes that a run has ended.
func (c *checker) runOver(task string, run int64, l *life, how string) {
	c.site.rec.note("end %s run %d at %s: %s", task, run, l.id, how)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active[task], run)
}

// noted notes that the end of a run was taken note of.
func (c *checker) noted(e endedRun, _ *life) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.how {
	case "done":
		c.doneAt[e.task] = time.Now()
	case "failed":
		c.failed[e.task]++
	}
}

// stopOrdered checks an order to stop a run of a step with may-miss, whose worker is sound.
func (c *checker) stopOrdered(r *taskRun) {
	step := r.step
	if step.MayMiss == 0 || !r.working {
		return
	}
	away := 0
	c.mu.Lock()
	c.ordered[r.task] = true
	for index := range step.Count {
		other := fmt.Sprintf("%s.%d", r.task[:strings.LastIndex(r.task, ".")], index)
		if other != r.task && c.ordered[other] {
			away++
		}
	}
	c.mu.Unlock()
	if away >= step.MayMiss {
		c.broken("AVAIL", "a stop ends task %s, while %d others of its step are away after such an order; may-miss is %d", r.task, away, step.MayMiss)
	}
}

// runsOf returns how many runs a task has had, and whether it has one now.
func (c *checker) runsOf(task string) (runs int, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsOf[task], len(c.active[task]) > 0
}

// hasBegun reports whether any task of a submission has been started.
func (c *checker) hasBegun(j *jobDef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.active {
		if strings.HasPrefix(task, j.id+".") {
			return true
		}
	}
	return false
}

func (c *checker) cancelled(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[id] = time.Now()
}

func (c *checker) result() (starts int, breaks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, slices.Clone(c.breaks)
}
