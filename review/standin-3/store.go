package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of each topic.
const partitions = 8

// partID names a partition of a topic.
type partID struct {
	topic string
	part  int
}

type record struct {
	key   string
	value []byte
}

// producerState is the newest epoch of a producer with its last appends.
type producerState struct {
	epoch, next int64
	// offsets holds the first offsets of the last five appends by their sequence numbers.
	offsets map[int64]int64
}

type partition struct {
	records   []record
	producers map[string]*producerState
}

// store is the platform's log with its consumer groups. It answers all calls at once.
type store struct {
	mu      sync.Mutex
	parts   map[partID]*partition
	groups  map[string]*group
	changed chan struct{}
}

func newStore() *store {
	return &store{parts: map[partID]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

func (s *store) partition(id partID) *partition {
	p, ok := s.parts[id]
	if !ok {
		p = &partition{producers: map[string]*producerState{}}
		s.parts[id] = p
	}
	return p
}

// put appends a record on behalf of the platform; a nil value drops the key.
func (s *store) put(id partID, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(id), []record{{key, value}})
}

func (s *store) add(p *partition, records []record) {
	if len(records) == 0 {
		return
	}
	p.records = append(p.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the newest value of a key; nil if there is none.
func (s *store) newest(id partID, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.partition(id).records) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	mux.HandleFunc("POST /api/log-join", s.handleJoin)
	mux.HandleFunc("POST /api/log-leave", s.handleLeave)
	mux.HandleFunc("GET /api/log-owners", s.handleOwners)
	return mux
}

func partOf(r *http.Request) partID {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return partID{r.URL.Query().Get("topic"), n}
}

func parseRecords(data []byte) ([]record, bool) {
	var all []record
	for len(data) > 0 {
		if len(data) < 4 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if length > len(data) || length < 1 || length < 1+int(data[0]) {
			return nil, false
		}
		end := 1 + int(data[0])
		all = append(all, record{string(data[1:end]), slices.Clone(data[end:length])})
		data = data[length:]
	}
	return all, true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := parseRecords(body)
	if !ok {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partOf(r))
	offset := int64(len(p.records))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		state, known := p.producers[name]
		switch {
		case known && epoch < state.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced", "end": offset})
			return
		case !known || epoch > state.epoch:
			state = &producerState{epoch: epoch, next: seq, offsets: map[int64]int64{}}
			p.producers[name] = state
		}
		if first, repeated := state.offsets[seq]; repeated && seq < state.next {
			writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": offset})
			return
		}
		if seq != state.next {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": state.next, "end": offset})
			return
		}
		state.next++
		state.offsets[seq] = offset
		delete(state.offsets, seq-5)
	}
	s.add(p, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	maxKB, err := strconv.Atoi(q.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(partOf(r)), s.changed
		end := len(p.records)
		if from < end || wait == 0 {
			body := frameRecords(p.records, from, maxKB<<10)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// frameRecords encodes the answer to a read of at most so many bytes, but of one record at least.
func frameRecords(records []record, from, limit int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for n := max(0, from); n < len(records); n++ {
		r := records[n]
		size := 1 + len(r.key) + len(r.value)
		if n > from && len(body)+4+size > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(size))
		body = append(body, byte(len(r.key)))
		body = append(append(body, r.key...), r.value...)
	}
	return body
}

// pageKeys is how many keys a page of the newest records has at most.
const pageKeys = 500

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	p := s.partition(partOf(r))
	last := map[string]int{}
	for n := range p.records {
		last[p.records[n].key] = n
	}
	items, more := []map[string]any{}, false
	for _, key := range slices.Sorted(maps.Keys(last)) {
		value := p.records[last[key]].value
		if key <= after || len(value) == 0 {
			continue
		}
		if more = len(items) == pageKeys; more {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": last[key]})
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

// group is a consumer group. A partition passes to another member once its holder has joined with
// the generation that reassigns it, has left, or has expired.
type group struct {
	generation int64
	members    map[string]*member
	assigned   map[partID]string
	holders    map[partID]string
}

type member struct {
	expires    time.Time
	generation int64
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl-ms"`
	Generation int64    `json:"generation"`
}

func (s *store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var q joinRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[q.Group]
	if !ok {
		g = &group{members: map[string]*member{}, assigned: map[partID]string{}, holders: map[partID]string{}}
		s.groups[q.Group] = g
	}
	for _, topic := range q.Topics {
		for n := range partitions {
			if id := (partID{topic, n}); g.assigned[id] == "" {
				g.assigned[id] = ""
			}
		}
	}
	m, known := g.members[q.Member]
	if !known {
		m = &member{}
		g.members[q.Member] = m
	}
	m.expires, m.generation = time.Now().Add(time.Duration(q.TTL)*time.Millisecond), q.Generation
	if !known {
		g.assign()
	}
	g.expire()
	g.transfer()
	rows := [][]any{}
	for _, id := range g.sorted() {
		if g.holders[id] == q.Member && g.assigned[id] == q.Member {
			rows = append(rows, []any{id.topic, id.part, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl-ms": q.TTL, "parts": rows})
}

func (s *store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var q joinRequest
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[q.Group]; ok {
		g.remove(q.Member)
		g.transfer()
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) handleOwners(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"parts": s.owners(r.URL.Query().Get("group"))})
}

func (s *store) owners(name string) [][]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	g, ok := s.groups[name]
	if !ok {
		return rows
	}
	g.expire()
	g.transfer()
	for _, id := range g.sorted() {
		if holder, held := g.holders[id]; held {
			rows = append(rows, []any{id.topic, id.part, holder, 0})
		}
	}
	return rows
}

func (g *group) sorted() []partID {
	ids := slices.Collect(maps.Keys(g.assigned))
	slices.SortFunc(ids, func(a, b partID) int {
		if c := strings.Compare(a.topic, b.topic); c != 0 {
			return c
		}
		return a.part - b.part
	})
	return ids
}

func (g *group) expire() {
	for name, m := range g.members {
		if time.Now().After(m.expires) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, ok := g.members[name]; !ok {
		return
	}
	delete(g.members, name)
	maps.DeleteFunc(g.holders, func(_ partID, holder string) bool { return holder == name })
	g.assign()
}

// assign distributes the partitions evenly, with few changes.
func (g *group) assign() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	most := (len(g.assigned) + len(names) - 1) / len(names)
	counts := map[string]int{}
	ids := g.sorted()
	for _, id := range ids {
		name := g.assigned[id]
		if _, ok := g.members[name]; !ok || counts[name] >= most {
			g.assigned[id] = ""
			continue
		}
		counts[name]++
	}
	for _, id := range ids {
		if g.assigned[id] == "" {
			least := slices.MinFunc(names, func(a, b string) int { return counts[a] - counts[b] })
			g.assigned[id] = least
			counts[least]++
		}
	}
}

func (g *group) transfer() {
	for id, name := range g.assigned {
		holder, held := g.holders[id]
		if name == "" || holder == name {
			continue
		}
		if m, ok := g.members[holder]; held && ok && m.generation < g.generation {
			continue
		}
		g.holders[id] = name
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
