package main

import (
	"fmt"
	"time"
)

const (
	// lastingPause is how long after its last run a task that lasts may have none; from then on the
	// rule holds, for idleTime.
	lastingPause = 6 * time.Second
	// failsEvery is how long the tasks work on average until they fail.
	failsEvery = 20 * time.Second
	// lastingJobs is the number of submissions.
	lastingJobs = 16
)

// lasting: the tasks of submissions that last fail now and then.
func lasting(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"})
	if err != nil {
		return nil, err
	}
	for n := range 6 {
		pool := "calibration"
		if n >= 4 {
			pool = sparePool
		}
		if err := s.addMachine(fmt.Sprintf("m-%d", n), pool, "a", "ank-a", resources{CPU: 16000, MemoryMB: 65536}); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	var all []*jobDef
	for range lastingJobs {
		j := s.register(0, &jobDef{steps: []*stepDef{{Count: 5, CPU: 500, MemoryMB: 512, EstimateMS: 700, LongRunning: true}}})
		if trouble {
			j.failsEvery = failsEvery
		}
		if !s.submit(j) {
			return s, fmt.Errorf("submission %s is not accepted", j.id)
		}
		all = append(all, j)
	}
	s.watchLasting(all, time.Now().Add(90*time.Second))
	return s, nil
}

// watchLasting checks until a time that no task that has run is without a run for idleTime, from
// lastingPause after its last one, while its service has room for it twice over.
func (s *site) watchLasting(all []*jobDef, until time.Time) {
	absent, noted := map[string]time.Time{}, time.Now()
	for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		capacity, used, workers := s.roomOf("calibration")
		need := all[0].steps[0].reserved()
		room := used.plus(need).plus(need).fits(capacity)
		running := 0
		for _, j := range all {
			for index := range j.steps[0].Count {
				task := fmt.Sprintf("%s.0.0.%d", j.id, index)
				runs, has := s.check.runsOf(task)
				if has {
					running++
				}
				if has || runs == 0 || !room {
					delete(absent, task)
					continue
				}
				if absent[task].IsZero() {
					absent[task] = time.Now()
				}
				if time.Since(absent[task]) > lastingPause+idleTime {
					s.check.broken("LOST", "task %s has had no run for %v; %d workers have %+v and use %+v", task, lastingPause+idleTime, workers, capacity, used)
					absent[task] = time.Now().Add(time.Hour)
				}
			}
		}
		if time.Since(noted) > time.Second {
			noted = time.Now()
			s.rec.note("%d of %d tasks run on %d workers", running, 5*lastingJobs, workers)
		}
	}
}
