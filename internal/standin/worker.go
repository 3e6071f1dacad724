package standin

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

// workerMaxBody is the largest body a worker takes, in bytes.
const workerMaxBody = 8 << 20

// Worker is a stand-in upstream host with a number of slots.
type Worker struct {
	name   string
	slots  int
	server *httpconn.Server

	running   atomic.Int64
	most      atomic.Int64
	downUntil atomic.Int64
	failing   atomic.Bool
	stopping  chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// StartWorker starts a worker at an address.
func StartWorker(name string, address netip.AddrPort, slots int) (*Worker, error) {
	w := &Worker{name: name, slots: slots, runs: map[string]int{}, stopping: make(chan struct{})}
	server, err := httpconn.Listen(address, http.HandlerFunc(w.serve), httpconn.Limits{MaxBody: workerMaxBody, MaxConns: 4096})
	if err != nil {
		return nil, err
	}
	w.server = server
	return w, nil
}

// Name is the worker's host name.
func (w *Worker) Name() string { return w.name }

// Address is where the worker listens.
func (w *Worker) Address() netip.AddrPort { return w.server.Address() }

// Running counts the busy slots.
func (w *Worker) Running() int { return int(w.running.Load()) }

// Most is the highest number of busy slots so far.
func (w *Worker) Most() int { return int(w.most.Load()) }

// Runs tells how often each request id ran.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// SetFailing makes the worker fail all it starts.
func (w *Worker) SetFailing(failing bool) { w.failing.Store(failing) }

// Reboot makes the worker answer nothing useful for a time.
func (w *Worker) Reboot(d time.Duration) {
	w.downUntil.Store(time.Now().Add(d).UnixNano())
}

// Close stops the worker.
func (w *Worker) Close() {
	close(w.stopping)
	w.server.Close()
}

// serve runs a request: ?run-ms gives its length and ?answer-bytes the answer's size.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if time.Now().UnixNano() < w.downUntil.Load() {
		http.Error(rw, "rebooting", http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.WriteHeader(http.StatusNoContent)
		return
	case "/standin/runs":
		reply(rw, w.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if n := w.running.Add(1); int(n) > w.slots {
		w.running.Add(-1)
		rw.Header().Set("Hornbeammast-Worker-Busy", "true")
		http.Error(rw, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.note(r.Header.Get("Hornbeammast-Request-Id"))
	if w.failing.Load() {
		http.Error(rw, "broken worker", http.StatusInternalServerError)
		return
	}
	w.work(httpconn.Disconnected(rw), r)
	w.answer(rw, r, body)
}

func (w *Worker) note(id string) {
	for most := w.most.Load(); w.running.Load() > most; most = w.most.Load() {
		w.most.CompareAndSwap(most, w.running.Load())
	}
	if id == "" {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
}

// work waits as long as the request asks, or until its client has gone.
func (w *Worker) work(gone func() bool, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("run-ms"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for left := time.Until(end); left > 0 && !gone(); left = time.Until(end) {
		select {
		case <-w.stopping:
			return
		case <-time.After(min(left, 20*time.Millisecond)):
		}
	}
}

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, body []byte) {
	rw.Header().Set("Content-Type", "text/plain")
	if n, _ := strconv.Atoi(r.URL.Query().Get("answer-bytes")); n > 0 {
		_, _ = rw.Write(make([]byte, n))
		return
	}
	_, _ = fmt.Fprintf(rw, "%s ran %s on %s", r.Header.Get("Hornbeammast-Request-Id"), body, w.name)
}
