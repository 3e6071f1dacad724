package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// group assigns the partitions of a topic evenly to its members. A partition passes to another
// member once its holder has joined with the generation of the change, has left or has expired.
type group struct {
	topic      string
	generation int64
	members    map[string]*member
	assigned   [partitions]string
	holders    [partitions]string
}

type member struct {
	expiresAt time.Time
	seen      int64
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

func (s *logStore) serveJoin(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Topics) != 1 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[request.Group]
	if !ok {
		g = &group{topic: request.Topics[0], members: map[string]*member{}}
		s.groups[request.Group] = g
	}
	g.expire()
	m, ok := g.members[request.Member]
	if !ok {
		m = &member{}
		g.members[request.Member] = m
		g.assign()
	}
	m.expiresAt, m.seen = time.Now().Add(time.Duration(request.TTL)*time.Millisecond), request.Generation
	g.transfer()
	rows := [][]any{}
	for n := range partitions {
		if g.holders[n] == request.Member && g.assigned[n] == request.Member {
			rows = append(rows, []any{g.topic, n, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl-ms": request.TTL, "parts": rows})
}

func (s *logStore) serveLeave(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[request.Group]; ok {
		g.remove(request.Member)
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *logStore) serveOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[r.URL.Query().Get("group")]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	g.expire()
	rows := [][]any{}
	for n, holder := range g.holders {
		if holder != "" {
			rows = append(rows, []any{g.topic, n, holder, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

func (g *group) expire() {
	for name, m := range g.members {
		if time.Now().After(m.expiresAt) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	for n, holder := range g.holders {
		if holder == name {
			g.holders[n] = ""
		}
	}
	g.assign()
	g.transfer()
}

// assign distributes the partitions evenly with few changes.
func (g *group) assign() {
	g.generation++
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	most := (partitions + len(names) - 1) / len(names)
	counts := map[string]int{}
	for n, name := range g.assigned {
		if _, ok := g.members[name]; !ok || counts[name] == most {
			g.assigned[n] = ""
			continue
		}
		counts[name]++
	}
	for n, name := range g.assigned {
		if name != "" {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
		g.assigned[n] = least
		counts[least]++
	}
}

func (g *group) transfer() {
	for n, name := range g.assigned {
		holder := g.holders[n]
		if name == "" || holder == name {
			continue
		}
		if m, ok := g.members[holder]; ok && m.seen < g.generation {
			continue
		}
		g.holders[n] = name
	}
}
