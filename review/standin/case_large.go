package main

import (
	"net/http"
	"slices"
	"time"
)

const (
	largePrefix = "/tije37/"
	largeTasks  = 9000
	smallTasks  = 300
	largeWork   = 90 * time.Second
	laterJobs   = 24
)

// largeJob hands in one job of many small tasks, and ordinary jobs before and after it.
func largeJob(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"skyclean", 12, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.configure([]route{{"r-clean", largePrefix, "skyclean", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	count := smallTasks
	if trouble {
		count = largeTasks
	}
	large := &submission{newID(), []stepSpec{{Count: count, CPU: 10, MemoryMB: 16, Estimate: largeWork.Milliseconds(), work: largeWork}}}
	s.registry.quiet[large.id] = true
	if !s.submit(largePrefix, large) {
		return false, errNotAccepted
	}
	r.say("the job %s of %d tasks is accepted", large.id, count)
	accepted := make(chan *submission, laterJobs)
	for range laterJobs {
		time.Sleep(time.Second)
		first := stepSpec{Count: 2, CPU: 1800, MemoryMB: 5000, Estimate: 2000, work: 2 * time.Second}
		second := first
		second.DependsOn = []int{0}
		job := &submission{newID(), []stepSpec{first, second, second}}
		s.registry.submit(job)
		go func() {
			status, _ := s.send(http.MethodPost, 0, largePrefix+job.id, job.body())
			if status/100 == 2 {
				accepted <- job
			}
		}()
	}
	r.say("the traffic ends")
	time.Sleep(finishTime)
	r.say("%d starts of the large job, %d appends refused as too large", s.registry.startsOf(large.id), s.store.refusals())
	all := []*submission{large}
	for len(accepted) > 0 {
		all = append(all, <-accepted)
	}
	r.say("%d of %d later jobs were accepted", len(all)-1, laterJobs)
	longest := s.watchIdle(all)
	s.reportIdle(largePrefix, all, longest)
	if s.ended() {
		return false, errEnded
	}
	return slices.Max(longest) > idleBound, nil
}
