package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

const (
	// platformMaxBody is the largest entry the log takes, in bytes.
	platformMaxBody = 4 << 20
	// maxWait bounds a waiting read.
	maxWait = 10 * time.Second
)

// Platform is the stand-in's HTTP face.
type Platform struct {
	log    *Log
	fleet  *fleetTable
	lag    time.Duration
	server *httpconn.Server
	stop   chan struct{}

	// outage makes every call fail; loseAnswers makes that many appends take
	// effect and lose their answer.
	outage      atomic.Bool
	loseAnswers atomic.Int64

	mu     sync.Mutex
	shown  platformapi.LiveList
	retain time.Duration
}

// Option changes a Platform.
type Option func(*Platform)

// WithRetention bounds how long the log keeps entries.
func WithRetention(d time.Duration) Option { return func(p *Platform) { p.retain = d } }

// WithLag sets how far the live list is behind.
func WithLag(d time.Duration) Option { return func(p *Platform) { p.lag = d } }

// WithHeartbeatTimeout sets how long a silent entry host stays in the list.
func WithHeartbeatTimeout(d time.Duration) Option {
	return func(p *Platform) { p.fleet.heartbeatTimeout = d }
}

// WithRebootTime sets how long a reboot takes.
func WithRebootTime(d time.Duration) Option { return func(p *Platform) { p.fleet.rebootTime = d } }

// StartPlatform starts the stand-in at an address.
func StartPlatform(address netip.AddrPort, opts ...Option) (*Platform, error) {
	p := &Platform{
		log: NewLog(), fleet: newFleetTable(3*time.Second, time.Second),
		lag: 300 * time.Millisecond, retain: time.Hour, stop: make(chan struct{}),
	}
	for _, apply := range opts {
		apply(p)
	}
	server, err := httpconn.Listen(address, p.routes(), httpconn.Limits{MaxBody: platformMaxBody, MaxConns: 4096})
	if err != nil {
		return nil, err
	}
	p.server = server
	go p.tick()
	return p, nil
}

// Address is where the platform listens.
func (p *Platform) Address() netip.AddrPort { return p.server.Address() }

// Log is the platform's log.
func (p *Platform) Log() *Log { return p.log }

// AddWorker tells the platform about a worker.
func (p *Platform) AddWorker(w *Worker) { p.fleet.add(w.Name(), w) }

// AddListed puts a host that nothing stands behind into the live list.
func (p *Platform) AddListed(name string) { p.fleet.add(name, nil) }

// SetOutage begins or ends an outage of the whole platform.
func (p *Platform) SetOutage(out bool) { p.outage.Store(out) }

// LoseAnswers makes the next n appends take effect without an answer.
func (p *Platform) LoseAnswers(n int) { p.loseAnswers.Store(int64(n)) }

// SetLeaving marks a host as leaving.
func (p *Platform) SetLeaving(host string, leaving bool) bool {
	return p.fleet.change(host, func(h *hostRecord) { h.leaving = leaving })
}

// SetDown marks a host as down.
func (p *Platform) SetDown(host string, down bool) bool {
	return p.fleet.change(host, func(h *hostRecord) { h.down = down })
}

// Boots counts the reboots of a host.
func (p *Platform) Boots(host string) int {
	status, _ := p.fleet.status(host, time.Now())
	return status.Boots
}

// Close stops the platform.
func (p *Platform) Close() {
	close(p.stop)
	p.server.Close()
}

func (p *Platform) tick() {
	interval := max(p.lag, 10*time.Millisecond)
	for {
		next := p.fleet.list(time.Now())
		select {
		case <-p.stop:
			return
		case <-time.After(interval):
		}
		p.mu.Lock()
		p.shown = next
		p.mu.Unlock()
		p.log.Expire(time.Now().Add(-p.retain))
	}
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log/{stream}", p.guard(p.readLog))
	mux.HandleFunc("POST /log/{stream}", p.guard(p.appendLog))
	mux.HandleFunc("GET /live", p.guard(p.list))
	mux.HandleFunc("POST /live/entry-hosts", p.guard(p.announce))
	mux.HandleFunc("GET /hosts/{host}", p.guard(p.host))
	mux.HandleFunc("POST /hosts/{host}/reboot", p.guard(p.reboot))
	mux.HandleFunc("POST /standin/{action}/{value}", p.control)
	return mux
}

func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.outage.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) readLog(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	gone := httpconn.Disconnected(w)
	for {
		batch, grown := p.log.Read(r.PathValue("stream"), from)
		if len(batch.Entries) > 0 || ms == 0 || from < batch.First {
			reply(w, batch)
			return
		}
		select {
		case <-grown:
		case <-deadline:
			reply(w, batch)
			return
		case <-p.stop:
			return
		}
		if gone() {
			return
		}
	}
}

func (p *Platform) appendLog(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := p.log.Append(r.PathValue("stream"), data)
	if p.loseAnswers.Load() > 0 && p.loseAnswers.Add(-1) >= 0 {
		http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
		return
	}
	reply(w, platformapi.AppendReply{Offset: offset})
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	shown := p.shown
	p.mu.Unlock()
	reply(w, shown)
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var entry platformapi.EntryHost
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.fleet.announce(entry, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) host(w http.ResponseWriter, r *http.Request) {
	status, ok := p.fleet.status(r.PathValue("host"), time.Now())
	if !ok {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	reply(w, status)
}

func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	var operation platformapi.Operation
	if err := json.NewDecoder(r.Body).Decode(&operation); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.fleet.reboot(r.PathValue("host"), operation.ID, time.Now()) {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// control lets a person or a test bring faults about.
func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	value := r.PathValue("value")
	known := true
	switch r.PathValue("action") {
	case "outage":
		p.SetOutage(value == "on")
	case "lose-answers":
		n, err := strconv.Atoi(value)
		known = err == nil
		p.LoseAnswers(n)
	case "leaving":
		known = p.SetLeaving(strings.TrimPrefix(value, "-"), !strings.HasPrefix(value, "-"))
	case "down":
		known = p.SetDown(strings.TrimPrefix(value, "-"), !strings.HasPrefix(value, "-"))
	default:
		known = false
	}
	if !known {
		http.Error(w, "unknown action or value", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
