package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime      = 1500 * time.Millisecond
	missedBeats   = 3
	lifeGap       = 1 << 20
	rackSize      = 4
	headerHolder  = "X-Hornbeammast-Duty-Holder"
	headerFencing = "X-Hornbeammast-Fencing-Token"
)

// service is a pool of workers.
type service struct {
	name     string
	machines int
	spare    bool
}

// fleet has the machines and their workers, and serves the list of machines.
type fleet struct {
	store    *logStore
	registry *registry
	advice   *advice
	record   *record
	hostIP   string
	zones    []string
	capacity resources
	services []service

	mu       sync.Mutex
	machines []*machine
	lives    int
	crashes  int
}

type machine struct {
	name, pool, zone, rack, state string
	token                         int64
	worker                        *worker
}

// fill makes the machines of all services, with a worker each except for spare ones.
func (f *fleet) fill() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		for range s.machines {
			n := len(f.machines)
			m := &machine{
				name: fmt.Sprintf("m-%02d", n), pool: s.name, zone: f.zones[n%len(f.zones)], rack: fmt.Sprintf("r%d", n/rackSize), state: "up",
			}
			f.machines = append(f.machines, m)
			if err := f.boot(m); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) isSpare(pool string) bool {
	for _, s := range f.services {
		if s.name == pool {
			return s.spare
		}
	}
	return false
}

// boot starts a machine's next worker. The lock is held.
func (f *fleet) boot(m *machine) error {
	m.state, m.worker = "up", nil
	if f.isSpare(m.pool) {
		return nil
	}
	f.lives += 1 + rand.IntN(lifeGap) //nolint:gosec // Only makes names differ.
	w, err := newWorker(f, fmt.Sprintf("i-%08x", f.lives), m.pool, m.zone, m.rack, f.capacity)
	m.worker = w
	return err
}

// crash lets the worker of a machine crash; another one is back after a time.
func (f *fleet) crash(w *worker, back time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != w {
			continue
		}
		m.state, m.worker = "down", nil
		f.crashes++
		w.crash()
		time.AfterFunc(missedBeats*beatInterval, func() { f.store.put("keyed.servers", w.id, nil) })
		time.AfterFunc(back, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if err := f.boot(m); err != nil {
				f.record.say("machine %s did not come back: %v", m.name, err)
				return
			}
			f.record.say("machine %s is back as worker %s", m.name, m.worker.id)
		})
	}
}

// workerOf returns a worker that runs a task of a job.
func (f *fleet) workerOf(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			if jobOf(r.task) == id {
				m.worker.mu.Unlock()
				return m.worker
			}
		}
		m.worker.mu.Unlock()
	}
	return nil
}

func (f *fleet) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", f.serveList)
	mux.HandleFunc("POST /api/machine-move", f.serveMove)
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusConflict, map[string]string{"reason": "wave"})
	})
	return mux
}

func (f *fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range f.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": f.capacity, "id": id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

func (f *fleet) serveMove(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	token, err := strconv.ParseInt(r.Header.Get(headerFencing), 10, 64)
	if json.NewDecoder(r.Body).Decode(&order) != nil || err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.name == order.Machine {
			f.move(w, m, order.Pool, token, r.Header.Get(headerHolder))
			return
		}
	}
	answer(w, http.StatusBadRequest, struct{}{})
}

// move carries out a move. The lock is held.
func (f *fleet) move(w http.ResponseWriter, m *machine, pool string, token int64, holder string) {
	switch {
	case token < m.token:
		answer(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	case m.pool == pool:
		m.token = token
		answer(w, http.StatusOK, struct{}{})
		return
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	f.record.add("machine %s moves from %s to %s by %s", m.name, m.pool, pool, holder)
	m.token, m.state, m.pool = token, "moving", pool
	if m.worker != nil {
		m.worker.crash()
		f.store.put("keyed.servers", m.worker.id, nil)
		m.worker = nil
	}
	time.AfterFunc(moveTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := f.boot(m); err != nil {
			f.record.say("machine %s did not come up: %v", m.name, err)
		}
	})
	answer(w, http.StatusOK, struct{}{})
}

// use returns how much processor capacity of all workers is in use, and how much there is.
func (f *fleet) use() (used, most int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		most += m.worker.capacity.CPU
		m.worker.mu.Lock()
		for _, r := range m.worker.runs {
			used += r.step.CPU
		}
		m.worker.mu.Unlock()
	}
	return used, most
}

// isFirst reports whether a worker is that of the first machine.
func (f *fleet) isFirst(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machines[0].worker != nil && f.machines[0].worker.id == id
}

// crashCount returns how many workers have crashed.
func (f *fleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}
