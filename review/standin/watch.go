package main

import "time"

const (
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleBound is how long a job may then have nothing running while there is capacity for it.
	idleBound = 3 * time.Second
	watchTime = 20 * time.Second
	watchTick = 50 * time.Millisecond
	startWait = 15 * time.Second
)

// watchIdle returns for each job the longest time in which it was not done and nothing of it ran.
func (s *site) watchIdle(jobs []*submission) []time.Duration {
	longest := make([]time.Duration, len(jobs))
	lastBusy := make([]time.Time, len(jobs))
	began := time.Now()
	for n := range lastBusy {
		lastBusy[n] = began
	}
	for time.Since(began) < watchTime {
		for n, job := range jobs {
			if s.registry.runsOrIsDone(job) {
				lastBusy[n] = time.Now()
			}
			longest[n] = max(longest[n], time.Since(lastBusy[n]))
		}
		time.Sleep(watchTick)
	}
	return longest
}

// reportIdle writes what watchIdle has found, and how the jobs are shown.
func (s *site) reportIdle(prefix string, jobs []*submission, longest []time.Duration) {
	used, most := s.fleet.use()
	s.record.say("of the service's workers %d of %d thousandths of a core are in use", used, most)
	for n, job := range jobs {
		s.record.say("%s is shown as %q after %d starts of its %d tasks; it had nothing running for up to %.1f s",
			job.id, s.state(prefix, job.id), s.registry.startsOf(job.id), job.tasks(), longest[n].Seconds())
	}
}

func (s *submission) tasks() int {
	tasks := 0
	for n := range s.steps {
		tasks += s.steps[n].Count
	}
	return tasks
}

// runsOrIsDone reports whether a task of a job runs or all of them have ended done.
func (g *registry) runsOrIsDone(s *submission) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveOf[s.id] > 0 || g.doneOf[s.id] == s.tasks()
}

// awaitStarts waits until tasks of a job have started, and reports whether they have.
func (g *registry) awaitStarts(id string, count int) bool {
	for began := time.Now(); time.Since(began) < startWait; time.Sleep(watchTick) {
		if g.startsOf(id) >= count {
			return true
		}
	}
	return false
}
