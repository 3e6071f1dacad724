package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The names of the small deployment.
const (
	queueHost   = "meters.example"
	queuePrefix = "/jobs/"
	service     = "meters"
	sparePool   = "spare"
	groupName   = "entry-hosts"
)

// site is a platform of stand-ins with the project's own daemons.
type site struct {
	record   *journal
	ledger   *ledger
	store    *store
	machines *machineService
	folder   string
	program  string
	storeAt  string
	cloudAt  string
	daemons  []*daemon
	servers  []*http.Server

	mu      sync.Mutex
	workers []*worker
	rng     *rand.Rand
	// lostStarts is the share of the starts that get no answer and are carried out late.
	lostStarts float64
	lost       int
}

// daemon is one process of the system, which is started again after it has ended.
type daemon struct {
	site             *site
	name, zone       string
	callers, ready   string
	settings, output string

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	kills   int
}

func newSite(program, folder, recordPath string) (*site, error) {
	record, err := newJournal(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{record: record, ledger: newLedger(record), store: newStore(), folder: folder, program: program, rng: rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano())))}
	s.machines = &machineService{site: s, waves: map[int64]waveOrder{}}
	if s.storeAt, err = s.serve(s.store.handler()); err != nil {
		return nil, err
	}
	s.cloudAt, err = s.serve(s.machines.handler())
	return s, err
}

func (s *site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// random returns a number from 0 to 1.
func (s *site) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// lateness is how long after it was sent an order without an answer is carried out: 2 to 12 s.
func (s *site) lateness() time.Duration {
	return 2*time.Second + time.Duration(s.random()*float64(10*time.Second))
}

// loseStart decides whether a start gets no answer, and after how long it is carried out then.
func (s *site) loseStart(*worker) (time.Duration, bool) {
	s.mu.Lock()
	share := s.lostStarts
	s.mu.Unlock()
	if s.random() >= share {
		return 0, false
	}
	s.mu.Lock()
	s.lost++
	s.mu.Unlock()
	return s.lateness(), true
}

// startWorker starts a worker on a machine.
func (s *site) startWorker(id string, m *machine) *worker {
	w := &worker{site: s, id: id, service: m.pool, rack: m.rack, zone: m.zone, address: "127.0.0.1:0"}
	if err := w.start(); err != nil {
		s.record.write("worker %s did not start: %v", id, err)
		return nil
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	return w
}

// addMachines adds machines to a pool, four to a rack.
func (s *site) addMachines(pool string, count int) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	for n := range count {
		total := len(s.machines.all)
		m := &machine{
			name: fmt.Sprintf("m-%02d%04x", total, int(s.random()*65536)), pool: pool, zone: zones[n%3], rack: fmt.Sprintf("r%d", total/4), upkept: map[int64]bool{},
		}
		s.machines.all = append(s.machines.all, m)
		s.machines.bringUp(m)
	}
}

// configure writes the configuration.
func (s *site) configure(version int) {
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "meters-queue", "host": queueHost, "path-prefix": queuePrefix, "kind": "unsafe", "timeout-ms": 3000,
			"target-latency-ms": 2500, "priority": 0, "service": service, "max-attempts": 4, "stretch": 2.0,
		}},
		"services": []map[string]any{
			{"name": service, "admission-check": true, "max-conns": 64}, {"name": sparePool, "admission-check": true, "spare": true, "max-conns": 64},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put(partID{"keyed.op", 0}, "config", data)
}

// publish publishes a wave.
func (s *site) publish(w waveOrder) {
	s.machines.mu.Lock()
	s.machines.waves[w.Wave] = w
	s.machines.mu.Unlock()
	data, _ := json.Marshal(w)
	s.store.put(partID{"keyed.op", 0}, fmt.Sprintf("wave/%d", w.Wave), data)
	s.record.write("wave %d: %d machines, maximum %d", w.Wave, len(w.Machines), w.Maximum)
}

// freeAddresses returns so many loopback addresses that were free a moment ago.
func freeAddresses(count int) ([]string, error) {
	var all []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		all = append(all, listener.Addr().String())
	}
	return all, nil
}

// addDaemon starts a daemon with settings as the template of the deploy file renders them.
func (s *site) addDaemon(name, zone string) error {
	at, err := freeAddresses(4)
	if err != nil {
		return err
	}
	d := &daemon{
		site: s, name: name, zone: zone, callers: at[0], ready: at[1],
		settings: filepath.Join(s.folder, name+".json"), output: filepath.Join(s.folder, name+".log"),
	}
	settings := map[string]any{
		"name": name, "data-centre": zone, "caller-address": at[0], "health-address": at[1], "peer-address": at[2], "metrics-address": at[3],
		"platform": map[string]any{
			"log-address": s.storeAt, "machines-address": s.cloudAt, "partitions": partitions, "least-group-ttl": "1000ms",
			"record-bytes": 262144, "call-bytes": 2097152, "report-interval": "1500ms", "machine-orders-per-second": 64.0, "machine-reads-per-second": 64.0,
		},
		"bounds": map[string]any{
			"max-lease": "6000ms", "move-time": "1.5s", "maintenance-time": "2s", "holder-lease": "3000ms", "notice-time": "4500ms",
			"stop-time": "400ms", "contact-time": "3000ms", "checkpoint-every": "1s", "keep-ended": "120s", "far-factor": 3,
			"shutdown-grace": "6s", "lost-hosts": 2, "lost-data-centres": 1,
		},
		"process": map[string]any{"core-share": 0.4, "core-speed": 1, "link-mbps": 1000.0, "memory-mb": 284, "max-descriptors": 4100},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	return d.start()
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	output, err := os.OpenFile(d.output, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(d.site.program, "serve", "--settings", d.settings)
	d.command.Stdout, d.command.Stderr = output, output
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	d.site.record.write("daemon %s starts", d.name)
	go func(command *exec.Cmd) {
		_ = command.Wait()
		_ = output.Close()
		d.mu.Lock()
		closing := d.closing
		d.mu.Unlock()
		if closing {
			return
		}
		d.site.record.write("daemon %s has ended", d.name)
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			d.site.record.write("daemon %s did not start again: %v", d.name, err)
		}
	}(d.command)
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kills++
	d.site.record.write("daemon %s gets %v", d.name, sig)
	_ = d.command.Process.Signal(sig)
}

func (d *daemon) close() {
	d.mu.Lock()
	d.closing = true
	command := d.command
	d.mu.Unlock()
	if command != nil && command.Process != nil {
		_ = command.Process.Kill()
	}
}

// close ends all processes that were started.
func (s *site) close() {
	for _, d := range s.daemons {
		d.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.mu.Lock()
	workers := s.workers
	s.mu.Unlock()
	for _, w := range workers {
		w.crash()
	}
	time.Sleep(300 * time.Millisecond)
}

// awaitReady waits until all daemons are ready and all partitions have an owner.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := len(s.store.owners(groupName)) == partitions
		for _, d := range s.daemons {
			response, err := http.Get("http://" + d.ready + "/api/ready")
			if err != nil {
				ready = false
				continue
			}
			_ = response.Body.Close()
			ready = ready && response.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons are not ready")
}

// call sends a client's request to a daemon; the status is 0 if no answer came.
func (s *site) call(d *daemon, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Hornbeammast-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var answer bytes.Buffer
	_, _ = answer.ReadFrom(response.Body)
	return response.StatusCode, answer.String()
}

type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Mem         int64 `json:"mem-mb"`
	Estimate    int64 `json:"estimate-ms"`
	LongRunning bool  `json:"long-running,omitempty"`
}

// submit hands a job in, at another daemon after each failure, and reports whether it was accepted.
func (s *site) submit(spec taskSpec, count int) (string, bool) {
	id := fmt.Sprintf("%016x", uint64(s.random()*(1<<62)))
	text, _ := json.Marshal(spec)
	s.ledger.submitted(id, string(text))
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "steps": []step{{Count: count, CPU: spec.CPU, Mem: spec.Mem, Estimate: spec.MS, LongRunning: spec.Lasts}},
	})
	for range 4 {
		d := s.daemons[int(s.random()*float64(len(s.daemons)))]
		status, _ := s.call(d, http.MethodPost, queuePrefix+id, body)
		s.record.write("submission %s of %d tasks at %s: %d", id, count, d.name, status)
		if status == http.StatusOK {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}
