package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long a call of the store takes.
	storeLatency = 4 * time.Millisecond
	// newestPage is the number of items on a page of the newest records.
	newestPage = 500
	// newestBytes is the size of such a page.
	newestBytes = 1 << 20
)

// store is the platform's store: keyed topics and groups of members.
type store struct {
	parts int

	mu         sync.Mutex
	partitions map[partitionID]*partition
	groups     map[string]*group
	changed    chan struct{}
}

type partitionID struct {
	topic  string
	number int
}

type storedRecord struct {
	key   string
	value []byte
}

type partition struct {
	records   []storedRecord
	producers map[string]*producer
}

type producer struct {
	epoch, next int64
	// answers holds the first answers of the last appends by their sequence numbers.
	answers map[int64]appendAnswer
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func newStore(parts int) *store {
	return &store{parts: parts, partitions: map[partitionID]*partition{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

// partition returns a partition, which is created on first use. The lock is held.
func (s *store) partition(id partitionID) *partition {
	p, ok := s.partitions[id]
	if !ok {
		p = &partition{producers: map[string]*producer{}}
		s.partitions[id] = p
	}
	return p
}

// put writes a record of the operator or of a worker; a nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(partitionID{topic, 0}), []storedRecord{{key, value}})
}

func (s *store) add(p *partition, records []storedRecord) {
	p.records = append(p.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store on a loopback address.
func (s *store) listen() (net.Listener, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("POST /api/log-join", s.serveJoin)
	mux.HandleFunc("POST /api/log-leave", s.serveLeave)
	mux.HandleFunc("GET /api/log-owners", s.serveOwners)
	return serve(mux)
}

func partitionOf(r *http.Request) partitionID {
	number, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return partitionID{r.URL.Query().Get("topic"), number}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	id := partitionOf(r)
	if id.topic == "keyed.op" || id.topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storedRecord
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || 4+length > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+length]
		end := 1 + int(record[0])
		if end > length {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, storedRecord{string(record[1:end]), slices.Clone(record[end:])})
		body = body[4+length:]
	}
	status, reply := s.append(id, r, records)
	writeJSON(w, status, reply)
}

func (s *store) append(id partitionID, r *http.Request, records []storedRecord) (status int, reply any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	answer := appendAnswer{Offset: int64(len(p.records)), End: int64(len(p.records) + len(records))}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		state, ok := p.producers[name]
		if !ok || epoch > state.epoch {
			state = &producer{epoch: epoch, next: sequence, answers: map[int64]appendAnswer{}}
			p.producers[name] = state
		}
		if epoch < state.epoch {
			return http.StatusConflict, map[string]string{"reason": "fenced"}
		}
		if first, ok := state.answers[sequence]; ok && sequence >= state.next-5 {
			return http.StatusOK, first
		}
		if sequence != state.next {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": state.next}
		}
		state.next++
		state.answers[sequence] = answer
		delete(state.answers, sequence-5)
	}
	s.add(p, records)
	return http.StatusOK, answer
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	id := partitionOf(r)
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	time.Sleep(storeLatency)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(id), s.changed
		end := int64(len(p.records))
		var records []storedRecord
		if from < end {
			records = p.records[max(0, from):end]
		}
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, records)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeRecords(w, end, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int64, records []storedRecord) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(data, r.key...)
		data = append(data, r.value...)
	}
	_, _ = w.Write(data)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	reply := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int64  `json:"end"`
	}{Items: []item{}}
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	p := s.partition(partitionOf(r))
	reply.End = int64(len(p.records))
	last := map[string]int{}
	for n, record := range p.records {
		last[record.key] = n
	}
	for key, n := range last {
		if value := p.records[n].value; key > after && len(value) > 0 {
			reply.Items = append(reply.Items, item{key, base64.StdEncoding.EncodeToString(value), int64(n)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	bytes := 0
	for n := range reply.Items {
		bytes += len(reply.Items[n].Key) + len(reply.Items[n].Value)
		if n == newestPage || (n > 0 && bytes > newestBytes) {
			reply.Items, reply.More = reply.Items[:n], true
			break
		}
	}
	writeJSON(w, http.StatusOK, reply)
}

func serve(handler http.Handler) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, handler) }()
	return l, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
