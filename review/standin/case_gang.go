package main

import (
	"net/http"
	"time"
)

const (
	gangPrefix = "/puxa400/"
	gangSize   = 4
	gangWork   = 10 * time.Second
	// crashAfter is when a worker crashes after the gang has begun to work, backAfter when another
	// one is there in its place.
	crashAfter = 3550 * time.Millisecond
	backAfter  = 4500 * time.Millisecond
	// contact is how long after a disturbance it no longer excuses anything.
	contact   = 3 * time.Second
	gangWatch = 50 * time.Second
)

// gangCheckpoints lets a worker crash that runs a member of a gang which saves its progress.
func gangCheckpoints(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"mapsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.configure([]route{{"r-maps", gangPrefix, "mapsvc", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	job := &submission{newID(), []stepSpec{{
		Count: gangSize, CPU: 1800, MemoryMB: 5000, Estimate: gangWork.Milliseconds(), Saves: true, Gang: true, Apart: 1, work: gangWork,
	}}}
	if !s.submit(gangPrefix, job) {
		return false, errNotAccepted
	}
	if !s.registry.awaitStarts(job.id, gangSize) {
		return false, errNotRunning
	}
	time.Sleep(crashAfter)
	if trouble {
		w := s.fleet.workerOf(job.id)
		if w == nil {
			return false, errNotRunning
		}
		r.say("worker %s, which runs a member of the gang, crashes; the machine is back in %v", w.id, backAfter)
		s.fleet.crash(w, backAfter)
	}
	calm := time.Now().Add(backAfter + 2*contact)
	time.Sleep(gangWatch)
	alone := s.registry.endsOf("alone", calm)
	r.say("the job is shown as %q; %d runs ended alone later than %v after the machine was back", s.state(gangPrefix, job.id), len(alone), 2*contact)
	s.registry.mu.Lock()
	mixed := s.registry.mixed
	s.registry.mu.Unlock()
	for _, line := range mixed[:min(len(mixed), gangSize)] {
		r.say("members of one run with different checkpoints: %s", line)
	}
	s.send(http.MethodDelete, 0, gangPrefix+job.id, nil)
	if s.ended() {
		return false, errEnded
	}
	return len(alone) > 0, nil
}
