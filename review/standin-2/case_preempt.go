package main

import (
	"fmt"
	"sync"
	"time"
)

// preempted: urgent submissions come at once, beside a step with may-miss that saves progress.
func preempted(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"}, route{service: "calibration", prio: 1})
	if err != nil {
		return nil, err
	}
	for n := range 3 {
		if err := s.addMachine(fmt.Sprintf("m-%d", n), "calibration", "a", "ank-a", resources{CPU: 4000, MemoryMB: 65536}); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	lasting := s.register(1, &jobDef{steps: []*stepDef{{Count: 6, CPU: 2000, MemoryMB: 512, EstimateMS: 500, LongRunning: true, SavesProgress: true, MayMiss: 1}}})
	if !s.submit(lasting) {
		return s, fmt.Errorf("submission %s is not accepted", lasting.id)
	}
	time.Sleep(6 * time.Second)
	var clients sync.WaitGroup
	if trouble {
		for range 20 {
			j := s.register(0, &jobDef{steps: []*stepDef{{Count: 2, CPU: 2000, MemoryMB: 512, EstimateMS: 2000}}, work: 2 * time.Second})
			clients.Go(func() { s.submit(j) })
		}
	}
	clients.Wait()
	time.Sleep(12 * time.Second)
	return s, nil
}
