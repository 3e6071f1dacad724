package main

import (
	"time"
)

const (
	// lostStarts is the share of the starts that get no answer and are carried out late.
	lostStarts = 0.055
	// crashPause is the pause between two crashes of a rack, and downTime how long its workers are down.
	crashPause = 9 * time.Second
	downTime   = 5 * time.Second
	// livesTime is how long the case lasts at most once the traffic begins.
	livesTime = 95 * time.Second
)

// playLives plays traffic while workers leave a share of the starts unanswered and carry them out late,
// and while the workers of a rack crash now and then and start again under their ids.
func playLives(s *site, trouble bool) error {
	s.addMachines(service, 12)
	for _, name := range []string{"front-a-1", "front-b-1", "front-c-1"} {
		if err := s.addDaemon(name, "zone-"+name[6:7]); err != nil {
			return err
		}
	}
	s.configure(3)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	if trouble {
		s.mu.Lock()
		s.lostStarts = lostStarts
		s.mu.Unlock()
	}
	crashedAt, racks := time.Now(), 0
	for end := time.Now().Add(livesTime); time.Now().Before(end) && s.record.broke() == 0; {
		if trouble && time.Since(crashedAt) > crashPause {
			crashedAt = time.Now()
			s.crashRack(racks % 3)
			racks++
		}
		go s.submit(taskSpec{MS: 14000, CPU: 200, Mem: 100}, 4)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	starts, done := s.ledger.counts()
	s.record.write("starts: %d, without an answer: %d, tasks done: %d, racks crashed: %d", starts, s.lost, done, racks)
	return nil
}

// crashRack crashes the workers of a rack, which start again under their ids after downTime.
func (s *site) crashRack(rack int) {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	for n, m := range s.machines.all {
		if n/4 != rack || m.state != "up" || m.worker == nil {
			continue
		}
		w := m.worker
		s.record.write("worker %s crashes", w.id)
		w.crash()
		m.state = "down"
		time.AfterFunc(downTime, func() {
			s.machines.mu.Lock()
			defer s.machines.mu.Unlock()
			if err := w.start(); err != nil {
				s.record.write("worker %s did not start again: %v", w.id, err)
				return
			}
			m.state = "up"
			s.record.write("worker %s starts again under its id", w.id)
		})
	}
}
