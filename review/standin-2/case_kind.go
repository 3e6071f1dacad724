package main

import (
	"fmt"
	"sync"
	"time"
)

// threeHosts starts the entry hosts of a small deployment and waits until they are ready.
func threeHosts(s *site) error {
	s.configure(1)
	for n, zone := range []string{"ank-a", "ank-b", "kon-a"} {
		if _, err := s.startHost(fmt.Sprintf("front-%d", n+1), zone); err != nil {
			return err
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// otherKind: a worker crashes and starts again under its id, as one of another kind.
func otherKind(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"})
	if err != nil {
		return nil, err
	}
	room := resources{CPU: 4000, MemoryMB: 16384}
	for n := range 4 {
		if err := s.addMachine(fmt.Sprintf("m-%d", n), "calibration", "a", "ank-a", room); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	end := time.Now().Add(16 * time.Second)
	var clients sync.WaitGroup
	for time.Now().Before(end) {
		j := s.register(0, &jobDef{steps: []*stepDef{{Count: 4, CPU: 1000, MemoryMB: 512, EstimateMS: 1000, Requires: "a"}}, work: time.Second})
		clients.Go(func() { s.submit(j) })
		time.Sleep(240 * time.Millisecond)
		if left := time.Until(end); trouble && left < 10*time.Second {
			trouble = false
			go rebootAsOtherKind(s, 0)
		}
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	return s, nil
}

// rebootAsOtherKind crashes the worker of a machine and starts it again after three seconds as one
// of kind b. It reports to the store within a heartbeat.
func rebootAsOtherKind(s *site, number int) {
	s.machines.mu.Lock()
	m := s.machines.machines[number]
	former := m.worker
	m.state, m.worker = "down", nil
	s.machines.mu.Unlock()
	former.crash()
	time.Sleep(3 * time.Second)
	next := &life{
		site: s, id: former.id, service: former.service, zone: former.zone, labels: []string{"b", former.labels[1]}, capacity: former.capacity, guards: former.guards,
	}
	if err := next.start(former.address); err != nil {
		s.rec.note("worker %s does not start again: %v", former.id, err)
		return
	}
	s.machines.mu.Lock()
	m.state, m.worker, m.labels = "up", next, next.labels
	s.machines.mu.Unlock()
	time.Sleep(time.Second)
	next.register("ready")
}
