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
	// platformMaxBody bounds a request body, and with it a log entry, in bytes.
	platformMaxBody = 4 << 20
	// maxWait bounds the time that a read waits for entries.
	maxWait = 10 * time.Second
)

// Platform is the HTTP server of the stand-in.
type Platform struct {
	log         *Log
	fleet       *fleetTable
	liveListLag time.Duration
	server      *httpconn.Server
	stop        chan struct{}

	// outage makes every platform call fail. loseAnswers is the number of further appends
	// that take effect but return an error.
	outage      atomic.Bool
	loseAnswers atomic.Int64

	mu        sync.Mutex
	published platformapi.LiveList
	retention time.Duration
}

// Option configures a Platform.
type Option func(*Platform)

// WithRetention sets how long the log keeps entries.
func WithRetention(d time.Duration) Option { return func(p *Platform) { p.retention = d } }

// WithLiveListLag sets the delay of the live list behind the actual state.
func WithLiveListLag(d time.Duration) Option { return func(p *Platform) { p.liveListLag = d } }

// WithHeartbeatTimeout sets how long an unresponsive entry host stays in the live list.
func WithHeartbeatTimeout(d time.Duration) Option {
	return func(p *Platform) { p.fleet.heartbeatTimeout = d }
}

// WithRebootTime sets how long a reboot takes.
func WithRebootTime(d time.Duration) Option { return func(p *Platform) { p.fleet.rebootTime = d } }

// StartPlatform starts a Platform that listens on an address.
func StartPlatform(address netip.AddrPort, opts ...Option) (*Platform, error) {
	p := &Platform{
		log: NewLog(), fleet: newFleetTable(3*time.Second, time.Second),
		liveListLag: 300 * time.Millisecond, retention: time.Hour, stop: make(chan struct{}),
	}
	for _, apply := range opts {
		apply(p)
	}
	server, err := httpconn.Listen(address, p.routes(), httpconn.Limits{MaxBody: platformMaxBody, MaxConns: 4096})
	if err != nil {
		return nil, err
	}
	p.server = server
	go p.refreshLoop()
	return p, nil
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() netip.AddrPort { return p.server.Address() }

// Log returns the platform's log.
func (p *Platform) Log() *Log { return p.log }

// AddWorker adds a worker to the hosts of the platform.
func (p *Platform) AddWorker(w *Worker) { p.fleet.add(w.Name(), w) }

// AddListedHost adds a host without a worker to the live list.
func (p *Platform) AddListedHost(name string) { p.fleet.add(name, nil) }

// SetOutage starts or ends an outage of the whole platform.
func (p *Platform) SetOutage(out bool) { p.outage.Store(out) }

// LoseAnswers makes the next n appends take effect but return an error.
func (p *Platform) LoseAnswers(n int) { p.loseAnswers.Store(int64(n)) }

// SetLeaving sets whether a host is leaving, and reports whether the host exists.
func (p *Platform) SetLeaving(host string, leaving bool) bool {
	return p.fleet.update(host, func(h *hostRecord) { h.leaving = leaving })
}

// SetDown sets whether a host is down, and reports whether the host exists.
func (p *Platform) SetDown(host string, down bool) bool {
	return p.fleet.update(host, func(h *hostRecord) { h.down = down })
}

// Boots returns the number of reboots of a host.
func (p *Platform) Boots(host string) int {
	status, _ := p.fleet.status(host, time.Now())
	return status.Boots
}

// Close stops the platform.
func (p *Platform) Close() {
	close(p.stop)
	p.server.Close()
}

// refreshLoop publishes the live list with its lag, and expires log entries.
func (p *Platform) refreshLoop() {
	interval := max(p.liveListLag, 10*time.Millisecond)
	for {
		next := p.fleet.list(time.Now())
		select {
		case <-p.stop:
			return
		case <-time.After(interval):
		}
		p.mu.Lock()
		p.published = next
		p.mu.Unlock()
		p.log.Expire(time.Now().Add(-p.retention))
	}
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log/{stream}", p.failDuringOutage(p.readLog))
	mux.HandleFunc("POST /log/{stream}", p.failDuringOutage(p.appendLog))
	mux.HandleFunc("GET /live", p.failDuringOutage(p.liveList))
	mux.HandleFunc("POST /live/entry-hosts", p.failDuringOutage(p.announce))
	mux.HandleFunc("GET /hosts/{host}", p.failDuringOutage(p.hostStatus))
	mux.HandleFunc("POST /hosts/{host}/reboot", p.failDuringOutage(p.reboot))
	mux.HandleFunc("POST /standin/{action}/{value}", p.handleControl)
	return mux
}

// failDuringOutage wraps a handler so that requests fail during an outage.
func (p *Platform) failDuringOutage(next http.HandlerFunc) http.HandlerFunc {
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
	disconnected := httpconn.Disconnected(r)
	for {
		batch, appended := p.log.Read(r.PathValue("stream"), from)
		if len(batch.Entries) > 0 || ms == 0 || from < batch.First {
			reply(w, batch)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			reply(w, batch)
			return
		case <-p.stop:
			return
		}
		if disconnected() {
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

func (p *Platform) liveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	published := p.published
	p.mu.Unlock()
	reply(w, published)
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

func (p *Platform) hostStatus(w http.ResponseWriter, r *http.Request) {
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

// handleControl injects faults on request. In "leaving" and "down" a host name with the
// prefix "-" ends the fault.
func (p *Platform) handleControl(w http.ResponseWriter, r *http.Request) {
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
