package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// finishTime is the bound finish_s, and idleTime the time for which a submission may have
	// nothing running after it.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// largeGang: large submissions come at once, each a gang of many small tasks.
func largeGang(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"})
	if err != nil {
		return nil, err
	}
	room := resources{CPU: 16000, MemoryMB: 65536}
	for n := range 10 {
		pool := "calibration"
		if n >= 4 {
			pool = sparePool
		}
		if err := s.addMachine(fmt.Sprintf("m-%d", n), pool, "a", "ank-a", room); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	count := 8
	if trouble {
		count = 32
	}
	var gangsSent []*jobDef
	for range 2 {
		j := s.register(0, &jobDef{steps: []*stepDef{{Count: count, CPU: 200, MemoryMB: 128, EstimateMS: 1000, Gang: true}}, work: time.Second})
		if !s.submit(j) {
			return s, fmt.Errorf("submission %s is not accepted", j.id)
		}
		gangsSent = append(gangsSent, j)
	}
	time.Sleep(finishTime)
	idleSince := map[string]time.Time{}
	for end := time.Now().Add(2 * idleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.checkIdle(gangsSent, idleSince)
	}
	for _, j := range gangsSent {
		_, text := s.request(s.hosts[0], http.MethodGet, j.path, nil)
		s.rec.note("%s is shown as %s", j.id, strings.TrimSpace(text))
	}
	return s, nil
}

// checkIdle checks that no submission that isn't done has nothing running for idleTime, while the
// workers of its service have room for it twice over and less than half of their room is in use.
func (s *site) checkIdle(all []*jobDef, since map[string]time.Time) {
	capacity, used, workers := s.roomOf("calibration")
	for _, j := range all {
		need := resources{}
		for range j.steps[0].Count {
			need = need.plus(j.steps[0].reserved())
		}
		room := need.plus(need).fits(capacity) && used.plus(used).fits(capacity)
		if !room || s.check.hasBegun(j) {
			delete(since, j.id)
			continue
		}
		if since[j.id].IsZero() {
			since[j.id] = time.Now()
		}
		if time.Since(since[j.id]) > idleTime {
			s.check.broken("LOST", "submission %s has nothing running for %v; it needs %+v, %d workers have %+v and use %+v",
				j.id, idleTime, need, workers, capacity, used)
			since[j.id] = time.Now().Add(time.Hour)
		}
	}
}

// roomOf returns the capacity of a service's workers and what is in use.
func (s *site) roomOf(service string) (capacity, used resources, workers int) {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	for _, m := range s.machines.machines {
		if m.worker == nil || m.state != "up" || m.pool != service {
			continue
		}
		workers++
		capacity = capacity.plus(m.worker.capacity)
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			used = used.plus(r.step.reserved())
		}
		m.worker.mu.Unlock()
	}
	return capacity, used, workers
}
