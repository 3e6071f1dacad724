package main

import (
	"syscall"
	"time"
)

const (
	// lostShare is the share of the calls to the machine service that get no answer and are carried out
	// late.
	lostShare = 0.3
	// rollPause is the pause between two planned restarts.
	rollPause = 7 * time.Second
	// waveTime is how long the case lasts at most once the first wave is published.
	waveTime = 95 * time.Second
)

// playUpkeep plays waves of upkeep, one after the other, while the daemon that last ordered an upkeep is
// restarted as planned now and then, and the machine service leaves a share of the calls unanswered and
// carries them out late.
func playUpkeep(s *site, trouble bool) error {
	s.addMachines(service, 6)
	s.addMachines(sparePool, 40)
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
		s.machines.mu.Lock()
		s.machines.lost = func(path, _ string) (time.Duration, bool) {
			if path != "/api/machine-upkeep" || s.random() >= lostShare {
				return 0, false
			}
			return s.lateness(), true
		}
		s.machines.mu.Unlock()
	}
	rolledAt, number := time.Now(), int64(0)
	for end := time.Now().Add(waveTime); time.Now().Before(end) && s.record.broke() == 0; {
		if number == 0 || s.machines.begun(number) {
			number++
			s.publish(waveOrder{Wave: number, Machines: s.machines.names(), Duration: 60, Maximum: 3})
		}
		if time.Since(rolledAt) > rollPause {
			rolledAt = time.Now()
			if d := s.machines.lastHolder(); d != nil {
				d.signal(syscall.SIGTERM)
			}
		}
		go s.submit(taskSpec{MS: 700, CPU: 1000, Mem: 256}, 4)
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	s.record.write("waves published: %d; machines that have begun their upkeep in the last one: %d", number, s.machines.countBegun(number))
	return nil
}

// names returns the names of all machines.
func (s *machineService) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, m := range s.all {
		names = append(names, m.name)
	}
	return names
}

// begun reports whether all machines have begun their upkeep in a wave.
func (s *machineService) begun(wave int64) bool { return s.countBegun(wave) == len(s.names()) }

func (s *machineService) countBegun(wave int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, m := range s.all {
		if m.upkept[wave] {
			n++
		}
	}
	return n
}

// lastHolder returns the daemon that last ordered a machine.
func (s *machineService) lastHolder() *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.site.daemons {
		if d.name == s.holder {
			return d
		}
	}
	return nil
}
