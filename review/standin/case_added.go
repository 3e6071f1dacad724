package main

import (
	"slices"
	"time"
)

const (
	addedPrefix = "/kafi706/"
	addedJobs   = 12
	addedDecide = 50 * time.Millisecond
	addedEach   = 5 * time.Millisecond
	addedWork   = 2500 * time.Millisecond
	// addedWait is how long the service needs for all jobs.
	addedWait = 15 * time.Second
)

// adviceAdded hands in jobs of a queue, which then gets advice.
func adviceAdded(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"calibsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.advice.decide, s.advice.each, s.advice.validTime = addedDecide, addedEach, adviceValid
	s.configure([]route{{"r-calib", addedPrefix, "calibsvc", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	var jobs []*submission
	for range addedJobs {
		first := stepSpec{Count: 4, CPU: 3800, MemoryMB: 5000, Estimate: addedWork.Milliseconds(), work: addedWork}
		second := first
		second.DependsOn = []int{0}
		job := &submission{newID(), []stepSpec{first, second, second}}
		if !s.submit(addedPrefix, job) {
			return false, errNotAccepted
		}
		jobs = append(jobs, job)
	}
	time.Sleep(time.Second)
	if trouble {
		s.advice.require("calibsvc")
		s.configure([]route{{"r-calib", addedPrefix, "calibsvc", true}})
	}
	time.Sleep(finishTime + addedWait)
	longest := s.watchIdle(jobs)
	s.reportIdle(addedPrefix, jobs, longest)
	if s.ended() {
		return false, errEnded
	}
	return slices.Max(longest) > idleBound, nil
}
