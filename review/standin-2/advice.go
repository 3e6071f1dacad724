package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const ticketTime = 3 * time.Second

// adviser says which workers may run a step, and gives tickets for them.
type adviser struct {
	site *site

	mu      sync.Mutex
	turn    sync.Mutex
	tickets map[string]ticket
}

type ticket struct {
	step, worker string
	born         int64
	until        time.Time
}

func (a *adviser) listen() (net.Listener, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.serve)
	return serve(mux)
}

func (a *adviser) serve(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(20*time.Millisecond + time.Duration(len(request.Workers))*2*time.Millisecond)
	a.turn.Unlock()
	good := [][]string{}
	for _, id := range request.Workers {
		l := a.site.lifeOf(id)
		if l == nil {
			continue
		}
		name := fmt.Sprintf("t-%s-%s-%d", request.Step, id, time.Now().UnixNano())
		a.mu.Lock()
		a.tickets[name] = ticket{request.Step, id, l.born(), time.Now().Add(ticketTime)}
		a.mu.Unlock()
		good = append(good, []string{id, name})
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid-ms": ticketTime.Milliseconds()})
}

func (a *adviser) valid(name string, step *stepDef, l *life) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.worker == l.id && t.born == l.born() && time.Now().Before(t.until) && step != nil
}

// lifeOf returns the present life of a worker.
func (s *site) lifeOf(id string) *life {
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	for _, m := range s.machines.machines {
		if m.worker != nil && m.worker.id == id {
			return m.worker
		}
	}
	return nil
}
