package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Bounds of workers, as in the settings of a small deployment.
const (
	beatInterval = 1500 * time.Millisecond
	holdMax      = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	gangTime     = 3 * time.Second
	saveInterval = 500 * time.Millisecond
	restoreTime  = 250 * time.Millisecond
	maxHoldWait  = 2 * time.Second
	maxEnds      = 500
	leaseTick    = 50 * time.Millisecond
)

// resources are what a worker has and what a task takes.
type resources struct {
	CPU      int64 `json:"cpu"`
	MemoryMB int64 `json:"mem-mb"`
	GPU      int64 `json:"gpu"`
}

// worker is one life of a worker.
type worker struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	rack     string
	address  string
	capacity resources
	born     time.Time
	server   *http.Server

	mu      sync.Mutex
	dead    bool
	token   int64
	lease   time.Time
	runs    map[string]*taskRun
	highest map[string]int64
	lastEnd int64
	ends    []endRow
	changed chan struct{}
	seq     int
}

type endRow struct {
	number int64
	row    []any
}

// taskRun is a task that a worker runs.
type taskRun struct {
	worker *worker
	task   string
	number int64
	step   *stepSpec
	// begunWith is the checkpoint that its start carried, saved the newest one.
	begunWith, saved string
	working          bool
	// done is the work that was done before workedSince.
	done        time.Duration
	workedSince time.Time
	timer       *time.Timer
}

type orderRequest struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Token      int64  `json:"fencing-token"`
	Deadline   int64  `json:"deadline-ms"`
	Checkpoint string `json:"last-checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
}

func newWorker(f *fleet, id, service, zone, rack string, capacity resources) (*worker, error) {
	listener, err := net.Listen("tcp", f.hostIP+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		fleet: f, id: id, service: service, zone: zone, rack: rack, address: listener.Addr().String(), capacity: capacity, born: time.Now(),
		runs: map[string]*taskRun{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /api/run-start", w.order(w.start))
	mux.HandleFunc("POST /api/run-stop", w.order(w.stop))
	mux.HandleFunc("POST /api/hold", w.order(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
	go w.live()
	return w, nil
}

// order decodes a call and refuses those for another worker.
func (w *worker) order(carryOut func(http.ResponseWriter, *http.Request, *orderRequest)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hornbeammast-Target-Instance") != w.id {
			answer(out, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		var request orderRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			answer(out, http.StatusBadRequest, struct{}{})
			return
		}
		carryOut(out, r, &request)
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// live beats and lets leases expire until the worker ends.
func (w *worker) live() {
	beat := time.Time{}
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if time.Now().After(w.lease) {
			for _, r := range w.all() {
				w.end(r, "lapsed")
			}
		}
		due := time.Since(beat) >= beatInterval
		if due {
			w.seq++
		}
		value, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": w.capacity, "labels": []string{"a", w.rack}, "clock-ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if due {
			beat = time.Now()
			w.fleet.store.put("keyed.servers", w.id, value)
		}
		time.Sleep(leaseTick)
	}
}

func (w *worker) all() []*taskRun {
	all := make([]*taskRun, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	return all
}

// refuse answers 409. The lock is held.
func (w *worker) refuse(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "reason": reason})
}

// accept raises the fence number and reports whether the order is not from an earlier holder.
func (w *worker) accept(out http.ResponseWriter, token int64) bool {
	if token < w.token {
		w.refuse(out, "fence")
		return false
	}
	w.token = token
	return true
}

// extend extends the lease of all runs, by the longest one at most.
func (w *worker) extend(deadline int64) {
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

func (w *worker) start(out http.ResponseWriter, _ *http.Request, o *orderRequest) {
	step, known := w.fleet.registry.step(o.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	key := o.Task + "#" + strconv.FormatInt(o.Run, 10)
	switch {
	case w.dead:
		panic(http.ErrAbortHandler)
	case !w.accept(out, o.Token):
		return
	case !known:
		answer(out, http.StatusBadRequest, struct{}{})
		return
	case w.runs[key] != nil:
		answer(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
		return
	case o.Deadline <= w.clock():
		w.refuse(out, "late")
		return
	}
	w.extend(o.Deadline)
	switch {
	case o.Run <= w.highest[o.Task]:
		w.refuse(out, "old")
		return
	case !w.fits(step):
		w.refuse(out, "room")
		return
	case !w.fleet.advice.admits(w, o.Task, o.Ticket):
		w.refuse(out, "ticket")
		return
	}
	r := &taskRun{worker: w, task: o.Task, number: o.Run, step: step, begunWith: o.Checkpoint, saved: o.Checkpoint, done: progressOf(o.Checkpoint)}
	w.runs[key] = r
	w.fleet.registry.started(w.id, w.service, r)
	answer(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
	if step.deadlyAfter > 0 {
		time.AfterFunc(step.deadlyAfter, func() { w.fleet.crash(w, backAfter) })
	}
	if !step.Gang {
		r.work()
		return
	}
	r.timer = time.AfterFunc(gangTime, func() { r.endLater("alone") })
	if members := w.fleet.registry.joinGang(r, step.Count); members != nil {
		go workTogether(members)
	}
}

// workTogether begins the work of a gang. Each member is on a worker with its own lock.
func workTogether(members []*taskRun) {
	for _, r := range members {
		r.worker.mu.Lock()
		if r.worker.runs[r.key()] == r && !r.working {
			r.work()
		}
		r.worker.mu.Unlock()
	}
}

func (r *taskRun) key() string { return r.task + "#" + strconv.FormatInt(r.number, 10) }

// work begins the work of a run. The worker's lock is held.
func (r *taskRun) work() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.working, r.workedSince = true, time.Now()
	if r.begunWith != "" {
		r.workedSince = r.workedSince.Add(restoreTime)
	}
	r.timer = time.AfterFunc(time.Until(r.workedSince)+r.step.work-r.done, func() { r.endLater("done") })
}

// progress returns the work that a run has done.
func (r *taskRun) progress() time.Duration {
	if !r.working || time.Now().Before(r.workedSince) {
		return r.done
	}
	return r.done + time.Since(r.workedSince)
}

// A checkpoint is the progress in milliseconds and the job's mark, as in the pages' examples.
func checkpointOf(task string, progress time.Duration) string {
	return fmt.Sprintf("%08x%s", progress.Milliseconds(), task[4:12])
}

func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// save makes the checkpoint of the last interval.
func (r *taskRun) save() {
	if progress := r.progress().Truncate(saveInterval); r.step.Saves && progress > progressOf(r.saved) {
		r.saved = checkpointOf(r.task, progress)
	}
}

func (w *worker) fits(step *stepSpec) bool {
	free := w.capacity
	for _, r := range w.runs {
		free.CPU -= r.step.CPU
		free.MemoryMB -= r.step.MemoryMB
		free.GPU -= r.step.GPU
	}
	return step.CPU <= free.CPU && step.MemoryMB <= free.MemoryMB && step.GPU <= free.GPU
}

// endLater ends a run from a timer, and with it the other members of its gang.
func (r *taskRun) endLater(how string) {
	w := r.worker
	w.mu.Lock()
	ours := !w.dead && w.runs[r.key()] == r
	if ours {
		w.end(r, how)
	}
	w.mu.Unlock()
}

// end removes a run and lists its end. The lock is held.
func (w *worker) end(r *taskRun, how string) {
	r.save()
	if how == "stopped" && r.step.Saves && r.progress() > progressOf(r.saved) {
		r.saved = checkpointOf(r.task, r.progress())
	}
	delete(w.runs, r.key())
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, []any{w.lastEnd, r.task, r.number, how, r.saved}})
	w.fleet.registry.ended(w.id, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.step.Gang {
		go endGang(w.fleet.registry.leaveGang(r), r.working, how)
	}
}

// endGang ends the other members of a gang after one has ended: all end done together, a working
// gang breaks as a whole, and one that still waits goes on waiting.
func endGang(others []*taskRun, worked bool, how string) {
	if how == "alone" || !worked {
		return
	}
	if how != "done" {
		how = "broken"
	}
	for _, r := range others {
		r.endLater(how)
	}
}

func (w *worker) stop(out http.ResponseWriter, _ *http.Request, o *orderRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if !w.accept(out, o.Token) {
		return
	}
	if r := w.runs[o.Task+"#"+strconv.FormatInt(o.Run, 10)]; r != nil {
		time.AfterFunc(stopTime/2, func() { r.endLater("stopped") })
	} else {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	}
	answer(out, http.StatusOK, map[string]any{"clock-ms": w.clock()})
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request, o *orderRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if !w.accept(out, o.Token) {
		return
	}
	w.ends = slices.DeleteFunc(w.ends, func(e endRow) bool { return e.number <= o.LastSeen })
	w.extend(o.Deadline)
	if wait := min(maxHoldWait, time.Duration(o.Wait)*time.Millisecond); len(w.ends) == 0 && wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		r.save()
		usage := int64(0)
		if r.working {
			usage = r.step.CPU
		}
		running = append(running, []any{r.task, r.number, r.saved, 100, usage})
	}
	for n := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, w.ends[n].row)
	}
	reply := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
	answer(out, http.StatusOK, reply)
}

// crash ends the worker and all of its runs without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	lost := w.all()
	for _, r := range lost {
		delete(w.runs, r.key())
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	w.mu.Unlock()
	_ = w.server.Close()
	for _, r := range lost {
		w.fleet.registry.ended(w.id, r, "lost with its worker")
		if r.step.Gang {
			endGang(w.fleet.registry.leaveGang(r), r.working, "lost")
		}
	}
}
