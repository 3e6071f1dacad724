package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	boundPrefix = "/bobo563/"
	// wideBound is a bound that binds nothing: the largest whole number that all JSON readers keep.
	wideBound   = 1<<53 - 1
	narrowBound = 2
	// visible is when an accepted job must be known.
	visible     = 3 * time.Second
	boundRounds = 5
)

// wideBounds hands in jobs whose steps may have more tasks on one worker than there are.
func wideBounds(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"mapsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.configure([]route{{"r-maps", boundPrefix, "mapsvc", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	apart := narrowBound
	if trouble {
		apart = wideBound
	}
	var jobs []*submission
	for range boundRounds {
		job := &submission{newID(), []stepSpec{{Count: 2, CPU: 1800, MemoryMB: 5000, Estimate: 800, Apart: apart, work: 800 * time.Millisecond}}}
		if !s.submit(boundPrefix, job) {
			return false, errNotAccepted
		}
		r.say("%s with anti-affinity %d is accepted", job.id, apart)
		jobs = append(jobs, job)
	}
	time.Sleep(visible + time.Second)
	unknown := 0
	for _, job := range jobs {
		for host := range s.hosts {
			if status, reply := s.send(http.MethodGet, host, boundPrefix+job.id, nil); status == http.StatusGone {
				unknown++
				r.say("%s is asked for at %s -> %d %s", job.id, s.hosts[host].name, status, strings.TrimSpace(reply))
			}
		}
	}
	time.Sleep(finishTime)
	for _, job := range jobs {
		r.say("%s is shown as %q after %d starts of its %d tasks", job.id, s.state(boundPrefix, job.id), s.registry.startsOf(job.id), job.tasks())
	}
	if s.ended() {
		return false, errEnded
	}
	return unknown > 0, nil
}
