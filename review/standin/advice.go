package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxWaitingAdvice is how many calls may wait; further ones get 429.
const maxWaitingAdvice = 32

// advice is the service that knows which workers may run a step. It handles one call at a time.
type advice struct {
	record                  *record
	decide, each, validTime time.Duration
	// services are those whose starts need a ticket.
	services map[string]bool
	// allows reports whether a worker may run the steps, which does not change.
	allows func(id string) bool

	turn sync.Mutex

	mu      sync.Mutex
	waiting int
	// tickets holds until when each ticket is valid.
	tickets map[string]time.Time
	granted int
}

func newAdvice(r *record) *advice {
	return &advice{record: r, services: map[string]bool{}, tickets: map[string]time.Time{}}
}

func (a *advice) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.serve)
	return mux
}

func (a *advice) serve(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.mu.Lock()
	if a.waiting == maxWaitingAdvice {
		a.mu.Unlock()
		answer(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	a.waiting++
	a.mu.Unlock()
	arrived := time.Now()
	a.turn.Lock()
	defer a.turn.Unlock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	if r.Context().Err() != nil {
		// The caller has gone.
		return
	}
	time.Sleep(a.decide + time.Duration(len(request.Workers))*a.each)
	rows := [][2]string{}
	a.mu.Lock()
	for _, id := range request.Workers {
		if a.allows(id) {
			a.granted++
			ticket := fmt.Sprintf("%s/%s/%d", request.Step, id, a.granted)
			a.tickets[ticket] = time.Now().Add(a.validTime)
			rows = append(rows, [2]string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.record.add("advice for %s: %d of %d workers, %.2f s after the call, tickets valid for %.1f s from now", request.Step, len(rows), len(request.Workers),
		time.Since(arrived).Seconds(), a.validTime.Seconds())
	answer(w, http.StatusOK, map[string]any{"good": rows, "valid-ms": a.validTime.Milliseconds()})
}

// require makes the workers of a service ask for a ticket with each start.
func (a *advice) require(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services[service] = true
}

// admits reports whether a worker may start a task with a ticket.
func (a *advice) admits(w *worker, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.services[w.service] {
		return true
	}
	prefix := task[:strings.LastIndex(task, ".")] + "/" + w.id + "/"
	return strings.HasPrefix(ticket, prefix) && time.Now().Before(a.tickets[ticket])
}
