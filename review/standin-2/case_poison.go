package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimitMB is the bound memory-mb of a process.
	memoryLimitMB = 284
	// endsOfFault is how often processes of one machine end by themselves in a fault, and
	// machinesOfFault on how many machines that is one.
	endsOfFault, machinesOfFault = 3, 2
)

// poison: one submission comes that can never be done: its tasks ask for more than any worker has.
func poison(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "calibration"}, route{service: "bookings"})
	if err != nil {
		return nil, err
	}
	for n := range 6 {
		pool := []string{"calibration", "bookings"}[n%2]
		if err := s.addMachine(fmt.Sprintf("m-%d", n), pool, "a", "ank-a", resources{CPU: 16000, MemoryMB: 65536}); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	times, count := 5, 8
	if trouble {
		times, count = 5000, 400
	}
	j := s.register(0, &jobDef{
		steps: []*stepDef{{Count: count, CPU: 32000, MemoryMB: 128, EstimateMS: 1000}}, work: time.Second,
		times: times, startAt: time.Now().Add(-time.Duration(times) * time.Second), interval: time.Second,
	})
	var watch sync.WaitGroup
	ends := make([]int, len(s.hosts))
	end := time.Now().Add(60 * time.Second)
	for n, h := range s.hosts {
		watch.Go(func() { ends[n] = s.limitMemory(h, end) })
	}
	watch.Go(func() { s.ordinaryTraffic(end) })
	time.Sleep(5 * time.Second)
	accepted := s.submit(j)
	rec.note("submission %s of %d times %d tasks is accepted: %v", j.id, times, count, accepted)
	watch.Wait()
	faulty := 0
	for n, h := range s.hosts {
		rec.note("processes of %s have ended %d times", h.name, ends[n])
		if ends[n] >= endsOfFault {
			faulty++
		}
	}
	if faulty >= machinesOfFault {
		s.check.broken("Fault", "on %d of %d machines processes have ended by themselves %d times or more: %v", faulty, len(s.hosts), endsOfFault, ends)
	}
	return s, nil
}

// ordinaryTraffic hands in ordinary submissions to the other queue until a time.
func (s *site) ordinaryTraffic(until time.Time) {
	var clients sync.WaitGroup
	var sent, accepted atomic.Int64
	for ; time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		j := s.register(1, &jobDef{steps: []*stepDef{{Count: 4, CPU: 1000, MemoryMB: 256, EstimateMS: 500}}, work: 500 * time.Millisecond})
		sent.Add(1)
		clients.Go(func() {
			if s.submit(j) {
				accepted.Add(1)
			}
		})
	}
	clients.Wait()
	s.rec.note("%d of %d ordinary submissions were accepted", accepted.Load(), sent.Load())
}

// limitMemory does what the platform does until a time: it kills the process of an entry host that
// takes more than its memory, and starts it again. It returns how often the process has ended.
func (s *site) limitMemory(h *entryHost, until time.Time) int {
	ends, highest := 0, 0
	for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		mb := residentMB(h.process.Process.Pid)
		highest = max(highest, mb)
		ended := false
		select {
		case <-h.ended:
			ended = true
		default:
		}
		if mb <= memoryLimitMB && !ended {
			continue
		}
		ends++
		s.rec.note("entry host %s takes %d MB, more than its %d MB", h.name, mb, memoryLimitMB)
		s.kill(h)
		time.Sleep(500 * time.Millisecond)
		if err := s.launch(h); err != nil {
			s.rec.note("entry host %s does not start: %v", h.name, err)
			return ends
		}
	}
	s.rec.note("entry host %s has taken up to %d MB", h.name, highest)
	return ends
}

// residentMB is the resident memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}
