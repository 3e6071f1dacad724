package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the log, as in the settings of a small deployment.
const (
	appendTime     = 4 * time.Millisecond
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	newestPage     = 500
	newestBytes    = 1 << 20
	keptAnswers    = 5
	lengthBytes    = 4
	headerBytes    = 16
	partitions     = 8
)

// logStore is the platform's metadata store in its form of a log.
type logStore struct {
	mu     sync.Mutex
	topics map[string]*partition
	groups map[string]*group
	// refused counts appends that were refused because a record or a call was too large.
	refused int
	record  *record
}

// partition is one partition of a topic.
type partition struct {
	// turn is held during an append, so that appends are processed one at a time.
	turn      sync.Mutex
	records   [][]byte
	newest    map[string]int64
	producers map[string]*producer
	grown     chan struct{}
}

// producer is the state of a producer of one partition.
type producer struct {
	epoch, next int64
	started     bool
	answers     map[int64][]byte
}

func newLogStore(r *record) *logStore {
	return &logStore{topics: map[string]*partition{}, groups: map[string]*group{}, record: r}
}

func (s *logStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("POST /api/log-join", s.serveJoin)
	mux.HandleFunc("POST /api/log-leave", s.serveLeave)
	mux.HandleFunc("GET /api/log-owners", s.serveOwners)
	mux.HandleFunc("POST /api/log-commit", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("POST /api/log-trim", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, struct{}{}) })
	return mux
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// part returns a partition, created on first use.
func (s *logStore) part(topic, number string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + number
	p, ok := s.topics[key]
	if !ok {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[key] = p
	}
	return p
}

// put writes a record as the operator or a worker.
func (s *logStore) put(topic, key string, value []byte) {
	data := append([]byte{byte(len(key))}, key...)
	p := s.part(topic, "0")
	s.mu.Lock()
	defer s.mu.Unlock()
	p.add(topic, [][]byte{append(data, value...)})
}

// add appends records and wakes readers. The store's lock is held.
func (p *partition) add(topic string, records [][]byte) {
	for _, data := range records {
		offset := int64(len(p.records))
		p.records = append(p.records, data)
		if !strings.HasPrefix(topic, "keyed.") {
			continue
		}
		end := 1 + int(data[0])
		if key := string(data[1:end]); len(data) > end {
			p.newest[key] = offset
		} else {
			delete(p.newest, key)
		}
	}
	if len(records) > 0 {
		close(p.grown)
		p.grown = make(chan struct{})
	}
}

// split splits the body of an append into records; ok is false if it is malformed or too large.
func split(body []byte) (records [][]byte, ok bool) {
	total := 0
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		total += length
		if length > len(body) || length > maxRecordBytes || total > maxCallBytes {
			return nil, false
		}
		records = append(records, body[:length:length])
		body = body[length:]
	}
	return records, true
}

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, struct{}{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := split(body)
	if !ok {
		s.mu.Lock()
		s.refused++
		first := s.refused == 1
		s.mu.Unlock()
		if first {
			s.record.say("log: append of %d bytes to %s/%s refused with 400, a record or the call is over the limit", len(body), topic, query.Get("part"))
		}
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	p := s.part(topic, query.Get("part"))
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(w, p, topic, records, query.Get("producer"), query.Get("epoch"), query.Get("seq"))
}

// append adds records, or refuses them by the producer's epoch and sequence number. The store's
// lock is held.
func (s *logStore) append(w http.ResponseWriter, p *partition, topic string, records [][]byte, name, epochText, sequenceText string) {
	if name == "" {
		reply := map[string]int64{"offset": int64(len(p.records)), "end": int64(len(p.records) + len(records))}
		p.add(topic, records)
		answer(w, http.StatusOK, reply)
		return
	}
	epoch, _ := strconv.ParseInt(epochText, 10, 64)
	sequence, _ := strconv.ParseInt(sequenceText, 10, 64)
	from, ok := p.producers[name]
	if !ok {
		from = &producer{}
		p.producers[name] = from
	}
	switch {
	case from.started && epoch < from.epoch:
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case !from.started || epoch > from.epoch:
		*from = producer{epoch: epoch, next: sequence, started: true, answers: map[int64][]byte{}}
	case sequence != from.next:
		if earlier, ok := from.answers[sequence]; ok {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(earlier)
			return
		}
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": from.next})
		return
	}
	reply, _ := json.Marshal(map[string]int64{"offset": int64(len(p.records)), "end": int64(len(p.records) + len(records))})
	p.add(topic, records)
	from.answers[sequence] = reply
	delete(from.answers, sequence-keptAnswers)
	from.next = sequence + 1
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

func (s *logStore) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait-ms"))
	maxKB, err := strconv.Atoi(query.Get("max-kb"))
	if err != nil {
		maxKB = 1024
	}
	p := s.part(query.Get("topic"), query.Get("part"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		end, grown := int64(len(p.records)), p.grown
		if end > from || waitMS == 0 {
			body := p.read(from, maxKB<<10)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read returns the answer to a read. The store's lock is held.
func (p *partition) read(from int64, limit int) []byte {
	body := make([]byte, headerBytes)
	binary.BigEndian.PutUint64(body, uint64(len(p.records)))
	for offset := from; offset < int64(len(p.records)); offset++ {
		data := p.records[offset]
		if len(body) > headerBytes && len(body)+len(data) > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(data))) //nolint:gosec // At most maxRecordBytes.
		body = append(body, data...)
	}
	return body
}

func (s *logStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p := s.part(query.Get("topic"), query.Get("part"))
	after, paged := query.Get("depends-on"), query.Has("depends-on")
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if !paged || key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		data := p.records[p.newest[key]]
		if size += len(data); len(items) == newestPage || (size > newestBytes && len(items) > 0) {
			break
		}
		items = append(items, item{key, data[1+int(data[0]):], p.newest[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(keys), "end": len(p.records)})
}

// refusals returns how many appends were refused as too large.
func (s *logStore) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
