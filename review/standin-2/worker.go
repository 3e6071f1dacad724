package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxLease = 6 * time.Second
	stopTime = 400 * time.Millisecond
	gangWait = 3 * time.Second
	maxWait  = 2 * time.Second
	maxEnds  = 500
)

// resources are what a worker has and a task asks for.
type resources struct {
	CPU      int64 `json:"cpu"`
	MemoryMB int64 `json:"mem-mb"`
	GPU      int64 `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

func (r resources) fits(o resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// life is one life of a worker: it holds and knows nothing of an earlier one.
type life struct {
	site     *site
	id       string
	service  string
	zone     string
	labels   []string
	capacity resources
	guards   bool
	began    time.Time
	server   *http.Server
	address  string

	mu       sync.Mutex
	gone     bool
	token    int64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	ends     []endedRun
	lastEnd  int64
	// lastRun is the highest run of each task that was stopped or has ended here.
	lastRun map[string]int64
	changed chan struct{}
	seq     int64
	// gate is the way to the worker, nil if it is reached at once.
	gate *gate
	// unregistered is set until the worker may write to the store.
	unregistered bool
}

type taskRun struct {
	task     string
	run      int64
	step     *stepDef
	began    time.Time
	working  bool
	stopping bool
	timer    *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	LeaseEndMS int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	Checkpoint string `json:"last-checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// start begins a life at an address; an empty one takes any free port.
func (l *life) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.address, l.began = listener.Addr().String(), time.Now()
	l.runs, l.lastRun, l.changed = map[string]*taskRun{}, map[string]int64{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", l.handle(l.startRun))
	mux.HandleFunc("POST /api/run-stop", l.handle(l.stopRun))
	mux.HandleFunc("POST /api/hold", l.handle(l.hold))
	mux.HandleFunc("POST /api/pace", l.handle(l.pace))
	l.server = &http.Server{Handler: mux}
	go func() { _ = l.server.Serve(listener) }()
	if l.gate != nil {
		l.gate.begin(l.address)
		l.address = l.gate.address
	}
	go l.watchLease()
	l.site.rec.note("worker %s of %s begins a life, labels %v, born %d", l.id, l.service, l.labels, l.born())
	return nil
}

func (l *life) born() int64 { return l.began.UnixMilli() }

// clock is the time on the worker's own clock.
func (l *life) clock() time.Duration { return time.Second + time.Since(l.began) }

// crash ends the life with all that runs on it.
func (l *life) crash() {
	l.mu.Lock()
	l.gone = true
	for _, r := range l.runs {
		l.drop(r)
		l.site.check.runOver(r.task, r.run, l, "crashed")
		l.site.gangs.left(l.site, r, "broken")
	}
	l.runs = map[string]*taskRun{}
	l.mu.Unlock()
	_ = l.server.Close()
	l.site.rec.note("worker %s of %s crashes", l.id, l.service)
}

func (l *life) drop(r *taskRun) {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// register writes the worker's entry to the store.
func (l *life) register(state string) {
	l.mu.Lock()
	if l.unregistered {
		l.mu.Unlock()
		return
	}
	l.seq++
	entry := map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 8, "state": state,
		"cold-left-ms": 0, "capacity": l.capacity, "labels": l.labels, "clock-ms": l.clock().Milliseconds(), "seq": l.seq, "born": l.born(),
	}
	l.mu.Unlock()
	data, _ := json.Marshal(entry)
	l.site.store.put("keyed.servers", l.id, data)
}

func (l *life) handle(do func(order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Hornbeammast-Target-Instance") != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := do(o)
		body["clock-ms"], body["born"] = l.clock().Milliseconds(), l.born()
		writeJSON(w, status, body)
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func accept() (int, map[string]any) { return http.StatusOK, map[string]any{} }

func runName(task string, run int64) string { return fmt.Sprintf("%s/%d", task, run) }

// extend applies a lease; the lock is held.
func (l *life) extend(endMS int64) {
	end := min(time.Duration(endMS)*time.Millisecond, l.clock()+l.site.maxLease())
	l.leaseEnd = max(l.leaseEnd, end)
}

func (l *life) startRun(o order) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	step := l.site.stepOf(o.Task)
	status, body := l.tryStart(o, step)
	answer := status
	l.site.rec.note("start %s run %d fence %d at %s %v: %d %v", o.Task, o.Run, o.Token, l.id, l.labels, answer, body["reason"])
	return status, body
}

func (l *life) tryStart(o order, step *stepDef) (int, map[string]any) {
	switch {
	case l.gone:
		return http.StatusServiceUnavailable, map[string]any{}
	case o.Token < l.token:
		return refuse("fence")
	}
	l.token = o.Token
	if l.runs[runName(o.Task, o.Run)] != nil {
		return accept()
	}
	if time.Duration(o.LeaseEndMS)*time.Millisecond <= l.clock() {
		return refuse("late")
	}
	l.extend(o.LeaseEndMS)
	if o.Run <= l.lastRun[o.Task] {
		return refuse("old")
	}
	if step == nil {
		l.site.check.broken("UNASKED", "task %s, which no client sent, is started at %s", o.Task, l.id)
		return http.StatusBadRequest, map[string]any{}
	}
	if step.job.advice && !l.site.advice.valid(o.Ticket, step, l) {
		return refuse("ticket")
	}
	used := step.reserved()
	for _, r := range l.runs {
		used = used.plus(r.step.reserved())
	}
	if l.guards && !used.fits(l.capacity) {
		return refuse("room")
	}
	r := &taskRun{task: o.Task, run: o.Run, step: step, began: time.Now()}
	l.site.check.started(l, o, step, used)
	l.runs[runName(o.Task, o.Run)] = r
	if step.Gang {
		l.site.gangs.joined(l.site, l, r)
	} else {
		l.work(r)
	}
	return accept()
}

// work begins the work of a run; the lock is held.
func (l *life) work(r *taskRun) {
	r.working = true
	if r.step.LongRunning {
		if mean := r.step.job.failsEvery; mean > 0 {
			r.timer = time.AfterFunc(time.Duration(rand.ExpFloat64()*float64(mean)), func() { l.endNow(r, "failed") })
		}
		return
	}
	how := "done"
	if r.step.job.fails {
		how = "failed"
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(r.step.job.work, func() {
		if r.step.Gang {
			l.site.gangs.finish(l.site, r, how)
			return
		}
		l.endNow(r, how)
	})
}

// endNow ends a run by itself.
func (l *life) endNow(r *taskRun, how string) {
	l.mu.Lock()
	ended := l.end(r, how)
	l.mu.Unlock()
	if ended && r.step.Gang && how != "done" && how != "broken" {
		l.site.gangs.left(l.site, r, "broken")
	}
}

// end lists the end of a run; the lock is held.
func (l *life) end(r *taskRun, how string) bool {
	name := runName(r.task, r.run)
	if l.gone || l.runs[name] != r {
		return false
	}
	l.drop(r)
	delete(l.runs, name)
	l.lastRun[r.task] = max(l.lastRun[r.task], r.run)
	l.lastEnd++
	l.ends = append(l.ends, endedRun{number: l.lastEnd, task: r.task, run: r.run, how: how})
	l.site.check.runOver(r.task, r.run, l, how)
	close(l.changed)
	l.changed = make(chan struct{})
	return true
}

func (l *life) stopRun(o order) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.site.rec.note("stop %s run %d fence %d at %s", o.Task, o.Run, o.Token, l.id)
	if o.Token < l.token {
		return refuse("fence")
	}
	l.token = o.Token
	r := l.runs[runName(o.Task, o.Run)]
	if r == nil {
		l.lastRun[o.Task] = max(l.lastRun[o.Task], o.Run)
		return accept()
	}
	if !r.stopping {
		r.stopping = true
		l.site.check.stopOrdered(r)
		time.AfterFunc(stopTime/2, func() { l.endNow(r, "stopped") })
	}
	return accept()
}

func (l *life) pace(o order) (int, map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.Token < l.token {
		return refuse("fence")
	}
	l.token = o.Token
	return accept()
}

func (l *life) hold(o order) (int, map[string]any) {
	l.mu.Lock()
	if o.Token < l.token {
		l.mu.Unlock()
		return refuse("fence")
	}
	l.token = o.Token
	if o.LeaseEndMS > 0 {
		l.extend(o.LeaseEndMS)
	}
	kept := l.ends[:0:0]
	for _, e := range l.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else {
			l.site.check.noted(e, l)
		}
	}
	l.ends = kept
	changed := l.changed
	wait := len(l.ends) == 0 && o.WaitMS > 0
	l.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond)):
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range l.runs {
		usage := r.step.CPU
		if !r.working {
			usage = 0
		}
		percent := 0
		if r.working {
			percent = 100
		}
		running = append(running, []any{r.task, r.run, "", percent, usage})
	}
	for n, e := range l.ends {
		if n == maxEnds {
			break
		}
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// watchLease kills all that runs once the lease has expired.
func (l *life) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		l.mu.Lock()
		if l.gone {
			l.mu.Unlock()
			return
		}
		var lapsed []*taskRun
		if l.clock() >= l.leaseEnd {
			for _, r := range l.runs {
				lapsed = append(lapsed, r)
			}
		}
		for _, r := range lapsed {
			l.end(r, "lapsed")
		}
		l.mu.Unlock()
		for _, r := range lapsed {
			if r.step.Gang {
				l.site.gangs.left(l.site, r, "broken")
			}
		}
	}
}

// gangs brings the members of gangs together.
type gangs struct {
	mu   sync.Mutex
	runs map[string]map[*taskRun]*life
}

func gangName(r *taskRun) string {
	return runName(r.task[:strings.LastIndex(r.task, ".")], r.run)
}

// joined notes a member; all work once they are there. The lock of the member's worker is held.
func (g *gangs) joined(_ *site, l *life, r *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := gangName(r)
	if g.runs[name] == nil {
		g.runs[name] = map[*taskRun]*life{}
	}
	g.runs[name][r] = l
	r.timer = time.AfterFunc(gangWait, func() {
		g.mu.Lock()
		working := r.working
		g.mu.Unlock()
		if !working {
			l.endNow(r, "alone")
		}
	})
	if len(g.runs[name]) == r.step.Count {
		for member := range g.runs[name] {
			member.working = true
			member.timer.Stop()
		}
		time.AfterFunc(r.step.job.work, func() { g.finish(nil, r, "done") })
	}
}

// finish ends all members of a gang in the same way.
func (g *gangs) finish(_ *site, r *taskRun, how string) { g.endAll(gangName(r), how, r.step.Count) }

// left ends the other members after one has ended.
func (g *gangs) left(_ *site, r *taskRun, how string) {
	if r.step.Gang {
		g.endAll(gangName(r), how, 0)
	}
}

// endAll ends the members that are there; least is how many must be.
func (g *gangs) endAll(name, how string, least int) {
	g.mu.Lock()
	members := g.runs[name]
	if len(members) < least {
		g.mu.Unlock()
		return
	}
	delete(g.runs, name)
	g.mu.Unlock()
	for member, l := range members {
		go l.endNow(member, how)
	}
}
