package main

import (
	"slices"
	"time"
)

const (
	roughPrefix = "/defi252/"
	roughJobs   = 10
	roughCount  = 4
	roughWork   = 6 * time.Second
	// roughEstimate is what the jobs say instead.
	roughEstimate = 500 * time.Millisecond
)

// roughEstimates hands in jobs whose tasks take far longer than the jobs say.
func roughEstimates(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"skyclean", 12, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.configure([]route{{"r-clean", roughPrefix, "skyclean", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	estimate := roughWork
	if trouble {
		estimate = roughEstimate
	}
	var jobs []*submission
	for range roughJobs {
		job := &submission{newID(), []stepSpec{{Count: roughCount, CPU: 3800, MemoryMB: 5000, Estimate: estimate.Milliseconds(), work: roughWork}}}
		if !s.submit(roughPrefix, job) {
			return false, errNotAccepted
		}
		jobs = append(jobs, job)
		time.Sleep(200 * time.Millisecond)
	}
	r.say("%d jobs are accepted, the traffic ends", len(jobs))
	time.Sleep(finishTime)
	longest := s.watchIdle(jobs)
	s.reportIdle(roughPrefix, jobs, longest)
	if s.ended() {
		return false, errEnded
	}
	return slices.Max(longest) > idleBound, nil
}
