package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// lateUpkeep: an order for an upkeep gets no answer and is carried out seconds later; the holder
// that sent it is killed.
func lateUpkeep(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"})
	if err != nil {
		return nil, err
	}
	room := resources{CPU: 4000, MemoryMB: 16384}
	var due []string
	for n := range 10 {
		pool := "calibration"
		if n >= 4 {
			pool = sparePool
		}
		name := fmt.Sprintf("m-%d", n)
		if err := s.addMachine(name, pool, "a", "ank-a", room); err != nil {
			return s, err
		}
		if n >= 4 {
			due = append(due, name)
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	var struck atomic.Bool
	s.machines.late = func(holder, _ string) (time.Duration, bool) {
		if !trouble || s.machines.begunSoFar() < 1 || struck.Swap(true) {
			return 0, false
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			if h := s.host(holder); h != nil {
				s.kill(h)
			}
		}()
		return 5 * time.Second, true
	}
	s.publishWave(wave{Wave: 1, Machines: due, Duration: 26, Maximum: 1})
	time.Sleep(26 * time.Second)
	return s, nil
}

func (m *machineService) begunSoFar() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}
