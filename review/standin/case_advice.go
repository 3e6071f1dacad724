package main

import (
	"slices"
	"time"
)

const (
	advicePrefix = "/kafi706/"
	adviceJobs   = 24
	burstPause   = 20 * time.Millisecond
	calmPause    = time.Second
	adviceDecide = 300 * time.Millisecond
	adviceEach   = 20 * time.Millisecond
	adviceValid  = 3 * time.Second
)

// adviceBurst hands in jobs of a queue with advice, all at once or one after the other.
func adviceBurst(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"calibsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.advice.decide, s.advice.each, s.advice.validTime = adviceDecide, adviceEach, adviceValid
	s.advice.require("calibsvc")
	s.configure([]route{{"r-calib", advicePrefix, "calibsvc", true}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	pause := calmPause
	if trouble {
		pause = burstPause
	}
	var jobs []*submission
	for range adviceJobs {
		job := &submission{newID(), []stepSpec{{Count: 2, CPU: 1800, MemoryMB: 5000, Estimate: 800, work: 800 * time.Millisecond}}}
		if !s.submit(advicePrefix, job) {
			return false, errNotAccepted
		}
		jobs = append(jobs, job)
		time.Sleep(pause)
	}
	r.say("%d jobs are accepted, the traffic ends", len(jobs))
	time.Sleep(finishTime)
	longest := s.watchIdle(jobs)
	s.reportIdle(advicePrefix, jobs, longest)
	if s.ended() {
		return false, errEnded
	}
	return slices.Max(longest) > idleBound, nil
}
