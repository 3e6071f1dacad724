package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	sparePool = "spares"
	hostName  = "maps.example"
	// downTime is how long an entry host that was killed is down, the for_s of node_kill.
	downTime = 3500 * time.Millisecond
)

// stepDef is a step of a submission as a client sends it.
type stepDef struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemoryMB      int64  `json:"mem-mb,omitempty"`
	EstimateMS    int64  `json:"estimate-ms,omitempty"`
	DependsOn     []int  `json:"depends-on,omitempty"`
	SavesProgress bool   `json:"saves-progress,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requires      string `json:"requires,omitempty"`
	AntiAffinity  int    `json:"anti-affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	MayMiss       int    `json:"may-miss,omitempty"`

	job *jobDef
}

func (s *stepDef) reserved() resources { return resources{CPU: s.CPU, MemoryMB: s.MemoryMB} }

// jobDef is a submission and how its tasks behave.
type jobDef struct {
	id       string
	service  string
	services map[string]bool
	path     string
	steps    []*stepDef
	work     time.Duration
	fails    bool
	// failsEvery is how long the tasks of a step that lasts work on average until they fail, 0 for ever.
	failsEvery time.Duration
	// crashes is how long after its start a task crashes its worker, 0 for never.
	crashes     time.Duration
	maxAttempts int
	spec        string
	advice      bool
	times       int
	startAt     time.Time
	interval    time.Duration
}

// route is a queue of the configuration.
type route struct {
	service string
	advice  bool
	prio    int
}

// hostClass is a class of machines of the system.
type hostClass struct {
	coreShare          float64
	memoryMB, linkMbps int
	// limited has the bandwidth of the link from the store kept to.
	limited bool
	// maxLease is the longest lease of a worker, 0 for that of isikbakim-hbm.
	maxLease time.Duration
	// bounds replace those of isikbakim-hbm.
	bounds map[string]any
}

var standardClass = hostClass{coreShare: 0.4, memoryMB: 284, linkMbps: 1000}

// site is a small deployment: a store, workers, machines and entry hosts.
type site struct {
	rec      *recorder
	check    *checker
	store    *store
	machines *machineService
	advice   *adviser
	gangs    *gangs
	guards   bool
	routes   []route
	dir      string
	// network is the loopback address of the entry hosts, ports how many ports they have.
	network string
	ports   int
	class   hostClass
	// gated gives each worker a gate.
	gated bool

	mu    sync.Mutex
	jobs  map[string]*jobDef
	hosts []*entryHost

	storeAddress, machinesAddress, adviceAddress string
}

func newSite(rec *recorder, guards bool, routes ...route) (*site, error) {
	s := &site{rec: rec, store: newStore(8), gangs: &gangs{runs: map[string]map[*taskRun]*life{}}, guards: guards, routes: routes, jobs: map[string]*jobDef{}, class: standardClass}
	s.network = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
	s.check = newChecker(s)
	s.machines = &machineService{site: s, waves: map[int64]wave{}}
	s.advice = &adviser{site: s, tickets: map[string]ticket{}}
	var err error
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for _, part := range []struct {
		address *string
		listen  func() (net.Listener, error)
	}{{&s.storeAddress, s.store.listen}, {&s.machinesAddress, s.machines.listen}, {&s.adviceAddress, s.advice.listen}} {
		l, err := part.listen()
		if err != nil {
			return nil, err
		}
		*part.address = l.Addr().String()
	}
	go s.heartbeats()
	return s, nil
}

// heartbeats has the workers of the machines write to the store.
func (s *site) heartbeats() {
	for {
		time.Sleep(1500 * time.Millisecond)
		s.machines.mu.Lock()
		var lives []*life
		for _, m := range s.machines.machines {
			if m.worker != nil && m.state == "up" {
				lives = append(lives, m.worker)
			}
		}
		s.machines.mu.Unlock()
		for _, l := range lives {
			l.register("ready")
		}
	}
}

// addMachine adds a machine with a worker, unless its pool is the spare one.
func (s *site) addMachine(name, pool, kind, zone string, capacity resources) error {
	m := &machine{name: name, pool: pool, state: "up", zone: zone, labels: []string{kind, "r-" + zone}, capacity: capacity, done: map[int64]bool{}}
	s.machines.mu.Lock()
	defer s.machines.mu.Unlock()
	s.machines.machines = append(s.machines.machines, m)
	return s.machines.boot(m)
}

// configure publishes a configuration with the site's routes, named /q0/, /q1/ and so on.
func (s *site) configure(version int) {
	var routes, services []map[string]any
	known := map[string]bool{}
	for n, r := range s.routes {
		row := map[string]any{
			"name": fmt.Sprintf("r-%d", n), "host": hostName, "path-prefix": fmt.Sprintf("/q%d/", n), "kind": "unsafe", "timeout-ms": 3000,
			"target-latency-ms": 600, "priority": r.prio, "service": r.service, "max-attempts": 4, "stretch": 1.6,
		}
		if r.advice {
			row["advice"] = map[string]any{"decide-ms": 20, "each-ms": 2, "valid-ms": 3000}
		}
		routes = append(routes, row)
		if !known[r.service] {
			known[r.service] = true
			services = append(services, s.service(r.service, false))
		}
	}
	services = append(services, s.service(sparePool, true))
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("keyed.op", "config", data)
	s.rec.note("configuration %d is acknowledged", version)
}

func (s *site) service(name string, spare bool) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": s.guards, "spare": spare,
	}
}

// publishWave asks for the upkeep of machines.
func (s *site) publishWave(w wave) {
	s.machines.mu.Lock()
	s.machines.waves[w.Wave] = w
	s.machines.mu.Unlock()
	data, _ := json.Marshal(w)
	s.store.put("keyed.op", fmt.Sprintf("wave/%d", w.Wave), data)
	s.rec.note("wave %d of %v, at most %d at once, is acknowledged", w.Wave, w.Machines, w.Maximum)
}

// entryHost is a process of the system.
type entryHost struct {
	name    string
	address string
	health  string
	file    string
	process *exec.Cmd
	ended   chan struct{}
}

// freeAddress returns an address of a loopback network that this process alone uses.
func (s *site) freeAddress() string {
	s.ports++
	return fmt.Sprintf("%s:%d", s.network, 20000+s.ports)
}

// startHost starts an entry host with the command of the deploy file and the settings that its
// template gives.
func (s *site) startHost(name, zone string) (*entryHost, error) {
	store, err := s.storeAddressOf()
	if err != nil {
		return nil, err
	}
	h := &entryHost{name: name, address: s.freeAddress(), health: s.freeAddress(), file: filepath.Join(s.dir, name+".json")}
	settings := map[string]any{
		"name": name, "data-centre": zone, "caller-address": h.address, "health-address": h.health,
		"peer-address": s.freeAddress(), "metrics-address": s.freeAddress(),
		"platform": map[string]any{
			"log-address": store, "machines-address": s.machinesAddress, "advice-address": s.adviceAddress, "partitions": 8,
			"least-group-ttl": "1000ms", "record-bytes": 262144, "call-bytes": 2097152, "report-interval": "1500ms",
			"machine-orders-per-second": 64.0, "machine-reads-per-second": 64.0,
		},
		"bounds": map[string]any{
			"max-lease": "6000ms", "move-time": "1.5s", "maintenance-time": "2s", "holder-lease": "3000ms", "notice-time": "4500ms",
			"stop-time": "400ms", "contact-time": "3000ms", "checkpoint-every": "1s", "keep-ended": "120s", "far-factor": 3,
			"shutdown-grace": "6s", "lost-hosts": 2, "lost-data-centres": 1,
		},
		"process": map[string]any{"core-share": s.class.coreShare, "core-speed": 1, "link-mbps": s.class.linkMbps, "memory-mb": s.class.memoryMB, "max-descriptors": 4100},
	}
	maps.Copy(settings["bounds"].(map[string]any), s.class.bounds)
	data, _ := json.MarshalIndent(settings, "", "  ")
	if err := os.WriteFile(h.file, data, 0o600); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.hosts = append(s.hosts, h)
	s.mu.Unlock()
	return h, s.launch(h)
}

func (s *site) launch(h *entryHost) error {
	log, err := os.OpenFile(filepath.Join(s.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.Command("target/hornbeammast", "serve", "--settings", h.file)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	process, ended := h.process, h.ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	s.rec.note("entry host %s starts at %s", h.name, h.address)
	return nil
}

// kill ends an entry host at once.
func (s *site) kill(h *entryHost) {
	s.rec.note("entry host %s is killed", h.name)
	_ = h.process.Process.Kill()
	<-h.ended
}

// host returns an entry host by its name, or nil.
func (s *site) host(name string) *entryHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, h := range s.hosts {
		_ = h.process.Process.Kill()
		<-h.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// awaitReady waits until all entry hosts say that they are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			r, err := http.Get("http://" + h.health + "/api/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("entry host %s does not become ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// stepOf returns the step that a task belongs to, nil for what no client sent.
func (s *site) stepOf(task string) *stepDef {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[parts[0]]
	var step, index int
	_, _ = fmt.Sscanf(parts[2], "%d", &step)
	_, _ = fmt.Sscanf(parts[3], "%d", &index)
	if j == nil || step < 0 || step >= len(j.steps) || index < 0 || index >= j.steps[step].Count {
		return nil
	}
	return j.steps[step]
}

// request sends a client's request to an entry host and returns the status, 0 for none.
func (s *site) request(h *entryHost, method, path string, body any) (int, string) {
	data := []byte(nil)
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+h.address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Hornbeammast-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	answer, err := client.Do(r)
	if err != nil {
		s.rec.note("%s %s at %s: no answer", method, path, h.name)
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(answer.Body)
	s.rec.note("%s %s at %s: %d %s", method, path, h.name, answer.StatusCode, strings.TrimSpace(text.String()))
	return answer.StatusCode, text.String()
}

// register makes a submission known to the workers.
func (s *site) register(queue int, j *jobDef) *jobDef {
	j.id, j.service, j.advice, j.maxAttempts = newID(), s.routes[queue].service, s.routes[queue].advice, 4
	j.path = fmt.Sprintf("/q%d/%s", queue, j.id)
	for _, step := range j.steps {
		step.job = j
	}
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	return j
}

// submit hands a submission in, up to five times at changing hosts, as clients do.
func (s *site) submit(j *jobDef) bool {
	body := map[string]any{"spec": "work", "steps": j.steps}
	if j.spec != "" {
		body["spec"] = j.spec
	}
	if j.times > 0 {
		body["times"], body["start-at-ms"], body["interval-ms"] = j.times, j.startAt.UnixMilli(), j.interval.Milliseconds()
	}
	first := rand.IntN(len(s.hosts))
	for n := range 5 {
		if status, _ := s.request(s.hosts[(first+n)%len(s.hosts)], http.MethodPost, j.path, body); status/100 == 2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// storeAddressOf returns the address at which a new entry host reaches the store.
func (s *site) storeAddressOf() (string, error) {
	if !s.class.limited {
		return s.storeAddress, nil
	}
	l := &link{target: s.storeAddress, bytesPerSecond: float64(s.class.linkMbps) * 1e6 / 8}
	return l.listen()
}

// maxLease returns the longest lease that a worker grants.
func (s *site) maxLease() time.Duration {
	if s.class.maxLease > 0 {
		return s.class.maxLease
	}
	return maxLease
}

// jobsPartition returns the partition that holds most, with the size of its newest records as the
// store lists them, and its owner.
func (s *site) jobsPartition() (id partitionID, bytes int, owner string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for other, p := range s.store.partitions {
		if other.topic != "keyed.jobs" {
			continue
		}
		newest := map[string]int{}
		for _, r := range p.records {
			newest[r.key] = len(r.key) + len(r.value)*4/3
		}
		size := 0
		for _, n := range newest {
			size += n
		}
		if size > bytes {
			id, bytes = other, size
		}
	}
	for _, g := range s.store.groups {
		if h := g.holders[id]; h != nil {
			owner, _, _ = strings.Cut(h.holder, "@")
		}
	}
	return id, bytes, owner
}
