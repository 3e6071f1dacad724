package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// recutWorkers is the number of workers, that of mapsvc; each has room for recutLong long tasks and
	// some short ones.
	recutWorkers, recutLong = 9, 4
	longWork, shortWork     = 20 * time.Second, 300 * time.Millisecond
	// crashAt is when the worker crashes, since the case began; darkFor is how long it is gone.
	crashAt, darkFor = 20 * time.Second, 600 * time.Millisecond
	// registerAfter is when the worker first writes to the store in its new life, within a heartbeat.
	registerAfter = time.Second
	// killAfter, cutAfter and shortsAfter are the times from the crash until the owner is killed, until the
	// worker is cut off, for cutFor, and until no more short tasks are submitted.
	killAfter, cutAfter, cutFor = 2 * time.Second, 4 * time.Second, 5500 * time.Millisecond
	shortsAfter                 = 2500 * time.Millisecond
	// recutEnd is the time after the cut for which the workers are watched.
	recutEnd = 3 * time.Second
)

// roshan is the class of the machines of roshan-grid, with the bounds of that site.
var roshan = hostClass{
	coreShare: 0.4, memoryMB: 284, linkMbps: 1000, maxLease: 10 * time.Second,
	bounds: map[string]any{"max-lease": "10000ms", "stop-time": "200ms", "checkpoint-every": "500ms", "far-factor": 2},
}

// recut: a worker crashes and is back under its id, the owner of its pool is killed, and the worker is
// cut off while long tasks run on it. With KILL=0 the owner is not killed.
func recut(rec *recorder, trouble bool) (*site, error) {
	s, err := newSite(rec, true, route{service: "mapsvc"})
	if err != nil {
		return nil, err
	}
	s.class, s.gated = roshan, true
	began := time.Now()
	room := resources{CPU: 32000, MemoryMB: 131072}
	for n := range recutWorkers {
		if err := s.addMachine(fmt.Sprintf("m-%d", n), "mapsvc", "a", "z-0", room); err != nil {
			return s, err
		}
	}
	if err := threeHosts(s); err != nil {
		return s, err
	}
	for range recutWorkers * recutLong {
		if j := s.oneTask(longWork, resources{CPU: 7000, MemoryMB: 4096}); !s.submit(j) {
			return s, fmt.Errorf("submission %s is not accepted", j.id)
		}
	}
	go s.shortTasks(began.Add(crashAt + shortsAfter))
	time.Sleep(time.Until(began.Add(crashAt)))
	if trouble {
		s.crashAndCut()
	}
	time.Sleep(time.Until(began.Add(crashAt + cutAfter + cutFor + recutEnd)))
	return s, nil
}

// oneTask makes a submission of one task known.
func (s *site) oneTask(work time.Duration, needs resources) *jobDef {
	j := s.register(0, &jobDef{work: work})
	j.steps = []*stepDef{{Count: 1, CPU: needs.CPU, MemoryMB: needs.MemoryMB, EstimateMS: work.Milliseconds(), job: j}}
	return j
}

// shortTasks submits one short task after the other.
func (s *site) shortTasks(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		go s.submit(s.oneTask(shortWork, resources{CPU: 500, MemoryMB: 256}))
	}
}

// crashAndCut crashes the busiest worker, kills the owner of its pool once it has had contact with the next
// life, and cuts that off once the next owner has.
func (s *site) crashAndCut() {
	began := time.Now()
	next, err := s.restartBusiest()
	if err != nil {
		s.rec.note("the worker does not start again: %v", err)
		return
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	_, _, owner := s.jobsPartition()
	if h := s.host(owner); h != nil && os.Getenv("KILL") != "0" {
		s.kill(h)
		go func() {
			time.Sleep(downTime)
			_ = s.launch(h)
		}()
	}
	time.Sleep(time.Until(began.Add(cutAfter)))
	s.rec.note("worker %s is cut off; its lease ends in %v", next.id, next.leaseLeft())
	next.gate.setCut(true)
	time.AfterFunc(cutFor, func() {
		s.rec.note("worker %s is reached again", next.id)
		next.gate.setCut(false)
	})
}

// restartBusiest crashes the busiest worker without a word to its clients, and starts it again under its
// id and at its address.
func (s *site) restartBusiest() (*life, error) {
	m := s.busiestMachine()
	former := m.worker
	s.rec.note("worker %s goes dark", former.id)
	former.gate.goDark()
	former.crash()
	time.Sleep(darkFor)
	next := &life{
		site: s, id: former.id, service: former.service, zone: former.zone, labels: former.labels, capacity: former.capacity,
		guards: former.guards, gate: former.gate, unregistered: true,
	}
	if err := next.start(""); err != nil {
		return nil, err
	}
	s.machines.mu.Lock()
	m.worker = next
	s.machines.mu.Unlock()
	time.AfterFunc(registerAfter, func() {
		next.mu.Lock()
		next.unregistered = false
		next.mu.Unlock()
		next.register("ready")
	})
	return next, nil
}

// busiestMachine returns the machine on whose worker most runs are.
func (s *site) busiestMachine() *machine {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	var busiest *machine
	most := -1
	for _, m := range s.machines.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		runs := len(m.worker.runs)
		m.worker.mu.Unlock()
		if runs > most {
			busiest, most = m, runs
		}
	}
	return busiest
}

// leaseLeft returns how long the worker keeps what runs without another order.
func (l *life) leaseLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseEnd - l.clock()
}
