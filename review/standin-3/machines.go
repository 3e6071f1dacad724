package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a machine of the platform; it has a worker while it is up in a pool that is not spare.
type machine struct {
	name, pool, state, rack, zone string
	worker                        *worker
	lives                         int
	fence                         int64
	upkept                        map[int64]bool
	// wave is the wave of the upkeep that it is down for.
	wave int64
}

type waveOrder struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration-s"`
	Maximum  int      `json:"maximum"`
}

// machineService is the platform's service for machines.
type machineService struct {
	site *site

	mu    sync.Mutex
	all   []*machine
	waves map[int64]waveOrder
	// holder is who last called.
	holder string
	// lost decides whether a call gets no answer, and after how long it is carried out then.
	lost func(path, holder string) (time.Duration, bool)
}

type machineCall struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

func (s *machineService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", s.handleList)
	mux.HandleFunc("POST /api/machine-move", s.handleOrder)
	mux.HandleFunc("POST /api/machine-upkeep", s.handleOrder)
	return mux
}

func (s *machineService) handleList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range s.all {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
		}
		if m.worker != nil && m.state == "up" {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

func (s *machineService) handleOrder(w http.ResponseWriter, r *http.Request) {
	var call machineCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	holder := r.Header.Get("X-Hornbeammast-Duty-Holder")
	token, _ := strconv.ParseInt(r.Header.Get("X-Hornbeammast-Fencing-Token"), 10, 64)
	what := fmt.Sprintf("%s %s by %s with fence %d", r.URL.Path[len("/api/machine-"):], call.Machine, holder, token)
	s.mu.Lock()
	s.holder = holder
	s.mu.Unlock()
	if s.lost != nil {
		if late, lost := s.lost(r.URL.Path, holder); lost {
			s.site.record.write("order %s: no answer; it is carried out after %s", what, late)
			time.AfterFunc(late, func() {
				status, reason := s.carryOut(r.URL.Path, call, token)
				s.site.record.write("order %s: carried out %s after it was sent: %d %s", what, late, status, reason)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := s.carryOut(r.URL.Path, call, token)
	s.site.record.write("order %s: %d %s", what, status, reason)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func (s *machineService) carryOut(path string, call machineCall, token int64) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var m *machine
	for _, other := range s.all {
		if other.name == call.Machine {
			m = other
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = token
	if path == "/api/machine-move" {
		switch {
		case m.pool == call.Pool:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		s.takeDown(m, "moving", moveTime, func() { m.pool = call.Pool })
		return http.StatusOK, ""
	}
	wave, ok := s.waves[call.Wave]
	if !ok || !contains(wave.Machines, m.name) {
		return http.StatusConflict, "wave"
	}
	switch {
	case m.upkept[call.Wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	s.checkWave(m, wave)
	m.upkept[call.Wave], m.wave = true, call.Wave
	s.takeDown(m, "upkeep", upkeepTime, func() { m.wave = 0 })
	return http.StatusOK, ""
}

// checkWave is the rule LIMIT: an upkeep must not begin while the maximum of machines of its wave are
// down for theirs.
func (s *machineService) checkWave(m *machine, wave waveOrder) {
	var down []string
	for _, other := range s.all {
		if other.wave == wave.Wave {
			down = append(down, other.name)
		}
	}
	if len(down) >= wave.Maximum {
		s.site.record.broken("LIMIT: the upkeep of %s begins while %v of wave %d are down for theirs; its maximum is %d", m.name, down, wave.Wave, wave.Maximum)
		return
	}
	s.site.record.write("upkeep of %s begins; down for theirs: %v of %d", m.name, down, wave.Maximum)
}

func (s *machineService) takeDown(m *machine, state string, d time.Duration, then func()) {
	m.state = state
	if m.worker != nil {
		m.worker.leave()
		m.worker = nil
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		then()
		s.bringUp(m)
	})
}

// bringUp starts a new worker on a machine. The lock is held.
func (s *machineService) bringUp(m *machine) {
	m.state = "up"
	m.lives++
	if m.pool != sparePool {
		m.worker = s.site.startWorker(fmt.Sprintf("i-%s-%d", m.name, m.lives), m)
	}
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
