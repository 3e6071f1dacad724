package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workerCPU    = 16000
	workerMemory = 65536
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
	stopTime     = 50 * time.Millisecond
)

// taskSpec is the spec of the stand-in's jobs: how long a task works, and what it takes.
type taskSpec struct {
	MS  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem"`
	// Lasts is set if the task runs until it is stopped.
	Lasts bool `json:"lasts"`
}

type runKey struct {
	task string
	run  int64
}

type taskRun struct {
	key      runKey
	spec     taskSpec
	began    time.Time
	stopping bool
	timer    *time.Timer
}

type endedRun struct {
	number int64
	key    runKey
	how    string
	// lapses is how often the lease had lapsed when the run ended.
	lapses int
}

// worker is a worker that may start again under its id, as another life.
type worker struct {
	site                    *site
	id, service, rack, zone string
	address                 string

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     time.Time
	seq      int64
	fence    int64
	leaseEnd time.Duration
	lapse    *time.Timer
	runs     map[runKey]*taskRun
	ended    []endedRun
	lastEnd  int64
	lapses   int
	highest  map[string]int64
	changed  chan struct{}
	stopped  chan struct{}
}

// start begins a life. The first one chooses the port, the others use it again.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.up, w.born, w.seq, w.fence, w.leaseEnd, w.lastEnd = true, time.Now(), 0, 0, 0, 0
	w.runs, w.ended, w.highest = map[runKey]*taskRun{}, nil, map[string]int64{}
	w.changed, w.stopped = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handleStart)
	mux.HandleFunc("POST /api/run-stop", w.handleStop)
	mux.HandleFunc("POST /api/hold", w.handleHold)
	mux.HandleFunc("POST /api/pace", w.handlePace)
	w.server = &http.Server{Handler: mux}
	server, stopped := w.server, w.stopped
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.beat(stopped)
	return nil
}

func (w *worker) beat(stopped chan struct{}) {
	for {
		w.mu.Lock()
		if !w.up || w.stopped != stopped {
			w.mu.Unlock()
			return
		}
		w.seq++
		data, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-left-ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0},
			"labels": []string{"a", w.rack}, "clock-ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.site.store.put(partID{"keyed.servers", 0}, w.id, data)
		w.mu.Unlock()
		select {
		case <-time.After(heartbeat):
		case <-stopped:
			return
		}
	}
}

// crash ends the present life with all that it runs; no word is sent.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.stopped)
	close(w.changed)
	w.changed = make(chan struct{})
	for key, r := range w.runs {
		r.timer.Stop()
		w.site.ledger.ended(key, w.id, "with its worker")
	}
	clear(w.runs)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// leave ends the worker for good.
func (w *worker) leave() {
	w.crash()
	w.site.store.put(partID{"keyed.servers", 0}, w.id, nil)
}

// clock is the steady clock of the present life. The lock is held.
func (w *worker) clock() time.Duration { return time.Second + time.Since(w.born) }

type workerCall struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// read decodes a call to this worker; any other lifetime answers 421.
func (w *worker) read(rw http.ResponseWriter, r *http.Request, call *workerCall) bool {
	if json.NewDecoder(r.Body).Decode(call) != nil {
		writeJSON(rw, http.StatusBadRequest, nil)
		return false
	}
	if to := r.Header.Get("X-Hornbeammast-Target-Instance"); to != "" && to != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, nil)
		return false
	}
	return true
}

func (w *worker) handleStart(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if !w.read(rw, r, &call) {
		return
	}
	if late, lost := w.site.loseStart(w); lost {
		w.site.record.write("start %s run %d at %s: no answer; it is carried out after %s", call.Task, call.Run, w.id, late)
		time.AfterFunc(late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.up {
				return
			}
			status, reason := w.carryOut(call)
			if status == http.StatusOK {
				w.site.record.write("start %s run %d at %s, life %d: carried out %s after it was sent: %d %s", call.Task, call.Run, w.id, w.born.UnixMilli(), late, status, reason)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	status, reason := w.carryOut(call)
	body := w.body()
	w.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func (w *worker) body() map[string]any {
	return map[string]any{"clock-ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

// carryOut carries out a start. The lock is held.
func (w *worker) carryOut(call workerCall) (int, string) {
	key := runKey{call.Task, call.Run}
	if call.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = call.Fence
	end := time.Duration(call.Deadline) * time.Millisecond
	if end <= w.clock() {
		return http.StatusConflict, "late"
	}
	w.extend(end)
	if w.runs[key] != nil {
		return http.StatusOK, ""
	}
	if call.Run <= w.highest[call.Task] {
		return http.StatusConflict, "old"
	}
	var spec taskSpec
	if json.Unmarshal([]byte(call.Spec), &spec) != nil {
		return http.StatusBadRequest, ""
	}
	cpu, mem := spec.CPU, spec.Mem
	for _, r := range w.runs {
		cpu, mem = cpu+r.spec.CPU, mem+r.spec.Mem
	}
	if cpu > workerCPU || mem > workerMemory {
		return http.StatusConflict, "room"
	}
	r := &taskRun{key: key, spec: spec, began: time.Now()}
	w.runs[key] = r
	w.site.ledger.started(key, w.id, call.Spec)
	if spec.Lasts {
		r.timer = time.NewTimer(time.Hour)
		return http.StatusOK, ""
	}
	born := w.born
	r.timer = time.AfterFunc(time.Duration(spec.MS)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up && w.born.Equal(born) && w.runs[key] == r {
			w.end(r, "done")
		}
	})
	return http.StatusOK, ""
}

// extend extends the lease of all that runs. The lock is held.
func (w *worker) extend(end time.Duration) {
	end = min(end, w.clock()+maxHold)
	if end <= w.leaseEnd {
		return
	}
	w.leaseEnd = end
	if w.lapse != nil {
		w.lapse.Stop()
	}
	born := w.born
	w.lapse = time.AfterFunc(end-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up || !w.born.Equal(born) || w.clock() < w.leaseEnd {
			return
		}
		w.lapses++
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	})
}

// end ends a run. The lock is held.
func (w *worker) end(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.key)
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.run)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, r.key, how, w.lapses})
	w.site.ledger.ended(r.key, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) handleStop(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if !w.read(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Fence < w.fence {
		body := w.body()
		body["reason"] = "fence"
		writeJSON(rw, http.StatusConflict, body)
		return
	}
	w.fence = call.Fence
	key := runKey{call.Task, call.Run}
	switch run := w.runs[key]; {
	case run == nil:
		w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	case !run.stopping:
		run.stopping = true
		born := w.born
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up && w.born.Equal(born) && w.runs[key] == run {
				w.end(run, "stopped")
			}
		})
	}
	writeJSON(rw, http.StatusOK, w.body())
}

func (w *worker) handlePace(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if !w.read(rw, r, &call) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(rw, http.StatusOK, w.body())
}

func (w *worker) handleHold(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if !w.read(rw, r, &call) {
		return
	}
	w.mu.Lock()
	if call.Fence < w.fence {
		body := w.body()
		w.mu.Unlock()
		body["reason"] = "fence"
		writeJSON(rw, http.StatusConflict, body)
		return
	}
	w.fence = call.Fence
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.number > call.LastSeen {
			kept = append(kept, e)
		} else if e.lapses == w.lapses {
			w.site.ledger.takenNote(e.key, e.how)
		}
	}
	w.ended = kept
	if call.Deadline > 0 {
		w.extend(time.Duration(call.Deadline) * time.Millisecond)
	}
	changed, stopped := w.changed, w.stopped
	wait := len(w.ended) == 0 && call.Wait > 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(call.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	if w.stopped != stopped || !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := w.body()
	running, ended := [][]any{}, [][]any{}
	for key, run := range w.runs {
		running = append(running, []any{key.task, key.run, "", 100, run.spec.CPU})
	}
	for _, e := range w.ended[:min(500, len(w.ended))] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	body["running"], body["ended"] = running, ended
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}

// jobOf returns the job and the step of a task.
func jobOf(task string) (job string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
		index, _ = strconv.Atoi(parts[3])
	}
	return parts[0], step, index
}
