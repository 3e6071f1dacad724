package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
)

// randomIndex returns a random number from 0 to n-1.
func (s *Site) randomIndex(n int) int { return min(n-1, int(s.random()*float64(n))) }

// liveMachines returns the machines that are up and have a worker, sorted by name so
// that a random choice depends on the seed alone.
func (s *Site) liveMachines() []*simMachine {
	var live []*simMachine
	for _, m := range s.machines {
		if m.state == machine.Up && m.worker != nil {
			live = append(live, m)
		}
	}
	return sortedMachines(live)
}

// randomMachine returns a random live machine, or nil if there is none.
func (s *Site) randomMachine() *simMachine {
	live := s.liveMachines()
	if len(live) == 0 {
		return nil
	}
	return live[s.randomIndex(len(live))]
}

// CrashWorker ends a random worker at once and takes its machine down for the duration.
func (s *Site) CrashWorker(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.randomMachine()
	if m == nil {
		return
	}
	s.ledger.crashed(m.worker)
	s.takeDown(m, machine.Down, m.pool, duration)
}

// IsolateWorker isolates a random worker from the network for the duration; the worker
// keeps running.
func (s *Site) IsolateWorker(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.randomMachine()
	if m == nil {
		return
	}
	s.isolate(m.worker, duration)
}

// isolate isolates a worker. The caller holds the site's lock.
func (s *Site) isolate(w *Worker, duration time.Duration) {
	w.isolated = true
	time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.isolated = false
	})
}

// MakeWorkerFaulty makes a random worker faulty for the duration: the runs that it starts
// hang, or else fail.
func (s *Site) MakeWorkerFaulty(hangs bool, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.randomMachine()
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
	time.AfterFunc(duration, func() { set(false) })
}

// DrainWorker makes a random worker report that it is draining, and takes its machine
// down after the notice.
func (s *Site) DrainWorker(notice time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.randomMachine()
	if m == nil {
		return
	}
	w := m.worker
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	s.publishReport(w)
	time.AfterFunc(notice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.worker == w && !s.closed {
			s.takeDown(m, machine.Down, m.pool, moveTime)
		}
	})
}

// Compact drops all records of the store but the newest of each key.
func (s *Site) Compact() { s.store.compact() }

// Rebalance reassigns all partitions of all groups at once, without waiting for the holders
// to release them.
func (s *Site) Rebalance() {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, g := range s.store.groups {
		g.rebalance()
	}
}

// SetMachineServiceDown sets whether the machine service leaves all calls unanswered.
func (s *Site) SetMachineServiceDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machineServiceDown = down
}
