package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// group distributes the partitions of its topics evenly over its members.
type group struct {
	generation int64
	topics     []string
	members    map[string]*groupMember
	holders    map[partitionID]*holding
}

type groupMember struct {
	joinedAt time.Time
	ttl      time.Duration
	// generation is the one that the member named in its last join.
	generation int64
}

// holding says who holds a partition, and who gets it once the holder has joined with the
// generation since which it is not the holder's any more.
type holding struct {
	holder, next string
	since        int64
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*groupMember{}, holders: map[partitionID]*holding{}}
		s.groups[name] = g
	}
	g.expire(time.Now())
	return g
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	for _, topic := range request.Topics {
		if slices.Contains(g.topics, topic) {
			continue
		}
		g.topics = append(g.topics, topic)
		for n := range s.parts {
			g.holders[partitionID{topic, n}] = &holding{}
		}
	}
	m, ok := g.members[request.Member]
	if !ok {
		m = &groupMember{}
		g.members[request.Member] = m
		g.deal()
	}
	m.joinedAt, m.ttl, m.generation = time.Now(), time.Duration(request.TTL)*time.Millisecond, request.Generation
	g.handOver()
	rows := [][]any{}
	for id, h := range g.holders {
		if h.holder == request.Member && h.next == request.Member {
			rows = append(rows, []any{id.topic, id.number, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl-ms": request.TTL, "parts": rows})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var request joinRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(request.Group)
	if _, ok := g.members[request.Member]; ok {
		delete(g.members, request.Member)
		g.deal()
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) serveOwners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(r.URL.Query().Get("group"))
	rows := [][]any{}
	for id, h := range g.holders {
		if h.holder != "" {
			rows = append(rows, []any{id.topic, id.number, h.holder, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

// expire removes the members that have sent nothing for their time.
func (g *group) expire(now time.Time) {
	changed := false
	for name, m := range g.members {
		if now.Sub(m.joinedAt) > m.ttl {
			delete(g.members, name)
			changed = true
		}
	}
	if changed {
		g.deal()
	}
}

// deal distributes the partitions anew; as many as possible stay where they are.
func (g *group) deal() {
	g.generation++
	count := map[string]int{}
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	slices.Sort(names)
	var ids []partitionID
	for id := range g.holders {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b partitionID) int { return a.number - b.number })
	most := 0
	if len(names) > 0 {
		most = (len(ids) + len(names) - 1) / len(names)
	}
	var free []partitionID
	for _, id := range ids {
		h := g.holders[id]
		if _, ok := g.members[h.next]; ok && count[h.next] < most {
			count[h.next]++
			continue
		}
		free = append(free, id)
	}
	for _, id := range free {
		h := g.holders[id]
		h.next, h.since = "", g.generation
		for _, name := range names {
			if h.next == "" || count[name] < count[h.next] {
				h.next = name
			}
		}
		count[h.next]++
	}
	g.handOver()
}

// handOver gives partitions to their next holders.
func (g *group) handOver() {
	for _, h := range g.holders {
		if h.holder == h.next {
			continue
		}
		if m, ok := g.members[h.holder]; !ok || m.generation >= h.since {
			h.holder = h.next
		}
	}
}
