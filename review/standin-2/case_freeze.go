package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"
)

// frozenPost: an entry host freezes with a submission unread. The client leaves at its time limit
// and cancels at another host, which answers 410; then the first one wakes.
func frozenPost(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"})
	if err != nil {
		return nil, err
	}
	room := resources{CPU: 4000, MemoryMB: 16384}
	for _, name := range []string{"m-0", "m-1", "m-2", "m-3"} {
		if err := s.addMachine(name, "calibration", "a", "ank-a", room); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	for n, h := range s.hosts {
		j := s.register(0, &jobDef{work: time.Second})
		for step := range 9 {
			def := &stepDef{Count: 1, CPU: 1000, MemoryMB: 256, EstimateMS: 1000, job: j}
			if step > 0 {
				def.DependsOn = []int{step - 1}
			}
			j.steps = append(j.steps, def)
		}
		other := s.hosts[(n+1)%len(s.hosts)]
		if trouble {
			s.rec.note("entry host %s freezes", h.name)
			_ = h.process.Process.Signal(syscall.SIGSTOP)
		}
		status, _ := s.request(h, http.MethodPost, j.path, map[string]any{"spec": "work", "steps": j.steps})
		var answer int
		for range 20 {
			if answer, _ = s.request(other, http.MethodDelete, j.path, nil); answer/100 == 2 || answer == http.StatusGone {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.check.cancelled(j.id)
		s.rec.note("submission of %s: status %d; its cancelling is acknowledged with %d", j.id, status, answer)
		if trouble {
			time.Sleep(time.Second)
			_ = h.process.Process.Signal(syscall.SIGCONT)
			s.check.disturbed()
			s.rec.note("entry host %s wakes", h.name)
		}
		time.Sleep(10 * time.Second)
		_, text := s.request(other, http.MethodGet, j.path, nil)
		s.rec.note("%s is shown as %s", j.id, strings.TrimSpace(text))
	}
	return s, nil
}
