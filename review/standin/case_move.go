package main

import (
	"net/http"
	"time"
)

const (
	movePrefix = "/wuhu344/"
	// configApply is when a version is in force after its acknowledgement.
	configApply = 2 * time.Second
	shortWork   = time.Second
	longWork    = 15 * time.Second
)

// movedQueue hands jobs in, and hands each in again seconds after its acknowledgement, as the pages
// allow. Meanwhile the operator removes the queue and adds it again for another service.
func movedQueue(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"membersvc", 11, false}, {"calibsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	other := route{"r-calib", "/zizi35/", "calibsvc", false}
	s.configure([]route{{"r-members", movePrefix, "membersvc", false}, other})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	var jobs []*submission
	for n := range 6 {
		work := shortWork
		if n%2 == 0 {
			work = longWork
		}
		job := &submission{newID(), []stepSpec{{Count: 2, CPU: 1800, MemoryMB: 5000, Estimate: work.Milliseconds(), work: work}}}
		if !s.submit(movePrefix, job) {
			return false, errNotAccepted
		}
		jobs = append(jobs, job)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.configure([]route{other})
		time.Sleep(500 * time.Millisecond)
		s.configure([]route{{"r-members", movePrefix, "calibsvc", false}, other})
	}
	time.Sleep(configApply + time.Second)
	for n, job := range jobs {
		status, _ := s.send(http.MethodPost, n, movePrefix+job.id, job.body())
		r.say("%s is handed in again -> %d", job.id, status)
	}
	time.Sleep(longWork + shortWork)
	for _, job := range jobs {
		r.say("%s is shown as %q", job.id, s.state(movePrefix, job.id))
	}
	s.registry.mu.Lock()
	doubled := s.registry.doubled
	s.registry.mu.Unlock()
	for _, line := range doubled {
		r.say("ran twice: %s", line)
	}
	if s.ended() {
		return false, errEnded
	}
	return len(doubled) > 0, nil
}
