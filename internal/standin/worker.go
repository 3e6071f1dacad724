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

// workerMaxBody bounds the request body of a worker in bytes.
const workerMaxBody = 8 << 20

// Worker is a stand-in for an upstream host with a fixed number of slots.
type Worker struct {
	name   string
	slots  int
	server *httpconn.Server

	running    atomic.Int64
	maxRunning atomic.Int64
	downUntil  atomic.Int64
	failing    atomic.Bool
	stopping   chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// StartWorker starts a worker that listens on an address.
func StartWorker(name string, address netip.AddrPort, slots int) (*Worker, error) {
	w := &Worker{name: name, slots: slots, runs: map[string]int{}, stopping: make(chan struct{})}
	server, err := httpconn.Listen(address, http.HandlerFunc(w.serve), httpconn.Limits{MaxBody: workerMaxBody, MaxConns: 4096})
	if err != nil {
		return nil, err
	}
	w.server = server
	return w, nil
}

// Name returns the worker's host name.
func (w *Worker) Name() string { return w.name }

// Address returns the address on which the worker listens.
func (w *Worker) Address() netip.AddrPort { return w.server.Address() }

// Running returns the number of busy slots.
func (w *Worker) Running() int { return int(w.running.Load()) }

// MaxRunning returns the highest number of busy slots so far.
func (w *Worker) MaxRunning() int { return int(w.maxRunning.Load()) }

// Runs returns how often each request ran, by request ID.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		runs[id] = n
	}
	return runs
}

// SetFailing sets whether the worker fails every request that it starts.
func (w *Worker) SetFailing(failing bool) { w.failing.Store(failing) }

// Reboot makes the worker answer every request with an error for the given time.
func (w *Worker) Reboot(d time.Duration) {
	w.downUntil.Store(time.Now().Add(d).UnixNano())
}

// Close stops the worker.
func (w *Worker) Close() {
	close(w.stopping)
	w.server.Close()
}

// serve runs a request. The query parameter run-ms is its run time in milliseconds, and
// answer-bytes the size of its answer.
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
	w.recordRun(r.Header.Get("Hornbeammast-Request-Id"))
	if w.failing.Load() {
		http.Error(rw, "worker is set to fail", http.StatusInternalServerError)
		return
	}
	w.waitRunTime(httpconn.Disconnected(r), r)
	w.answer(rw, r, body)
}

// recordRun counts the run of a request and updates the highest number of busy slots.
func (w *Worker) recordRun(id string) {
	for maxRunning := w.maxRunning.Load(); w.running.Load() > maxRunning; maxRunning = w.maxRunning.Load() {
		w.maxRunning.CompareAndSwap(maxRunning, w.running.Load())
	}
	if id == "" {
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
}

// waitRunTime waits for the request's run time, or until its client disconnects or the
// worker is closed.
func (w *Worker) waitRunTime(disconnected func() bool, r *http.Request) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("run-ms"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for left := time.Until(end); left > 0 && !disconnected(); left = time.Until(end) {
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
