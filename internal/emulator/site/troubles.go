package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// pick gives one of n at random.
func (s *Site) pick(n int) int { return min(n-1, int(s.random()*float64(n))) }

// liveMachines lists the machines that are up and have a worker.
func (s *Site) liveMachines() []*simMachine {
	var live []*simMachine
	for _, m := range s.machines {
		if m.state == machine.Up && m.worker != nil {
			live = append(live, m)
		}
	}
	return sortedMachines(live)
}

// anyMachine gives one of the live machines at random, or nil.
func (s *Site) anyMachine() *simMachine {
	live := s.liveMachines()
	if len(live) == 0 {
		return nil
	}
	return live[s.pick(len(live))]
}

// CrashWorker ends a worker at once; its machine is down for a while.
func (s *Site) CrashWorker(away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.anyMachine()
	if m == nil {
		return
	}
	s.takeDown(m, machine.Down, m.pool, away)
}

// DarkenWorker cuts a worker off; it runs on.
func (s *Site) DarkenWorker(away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.anyMachine()
	if m == nil {
		return
	}
	w := m.worker
	w.dark = true
	time.AfterFunc(away, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.dark = false
	})
}

// SpoilWorker makes a worker fail all that it starts, or hang.
func (s *Site) SpoilWorker(hangs bool, lasts time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.anyMachine()
	if m == nil {
		return
	}
	w := m.worker
	set := func(on bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.fails, w.hangs = on && !hangs, on && hangs
	}
	set(true)
	time.AfterFunc(lasts, func() { set(false) })
}

// DrainWorker makes a worker report that it leaves, and leave.
func (s *Site) DrainWorker(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.anyMachine()
	if m == nil {
		return
	}
	w := m.worker
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	s.list(w)
	time.AfterFunc(notice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.worker == w && !s.closed {
			s.takeDown(m, machine.Down, m.pool, moveTime)
		}
	})
}

// Compact drops the store's history.
func (s *Site) Compact() { s.store.compact() }

// Redeal deals all partitions anew at once.
func (s *Site) Redeal() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, g := range s.store.groups {
		g.redeal()
	}
}
