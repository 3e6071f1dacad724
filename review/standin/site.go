package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	advised               bool
}

// site is a small deployment: three entry hosts and the stand-ins of the platform.
type site struct {
	root, temp string
	zones      []string
	record     *record
	store      *logStore
	fleet      *fleet
	registry   *registry
	advice     *advice
	hosts      []*entryHost
	servers    []*http.Server
	client     *http.Client
	version    int64

	logAddress, machinesAddress, adviceAddress string
}

// workerCapacity is what a worker has: that of the co-operative's, and accelerators.
var workerCapacity = resources{CPU: 32000, MemoryMB: 131072, GPU: 16}

const (
	callerHost  = "pule25.example"
	readyWithin = 20 * time.Second
	callTimeout = 3 * time.Second
	maxAttempts = 4
)

// newSite starts the stand-ins. The addresses are drawn anew, so that sites don't meet.
func newSite(root string, r *record, services []service) (*site, error) {
	temp, err := os.MkdirTemp("", "hornbeammast-review-")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, temp: temp, zones: []string{"pk-north-a", "pk-north-b", "pk-north-c"}, record: r, client: &http.Client{Timeout: callTimeout}}
	s.store, s.registry, s.advice = newLogStore(r), newRegistry(r), newAdvice(r)
	net3 := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)) //nolint:gosec // Only keeps sites apart.
	s.fleet = &fleet{
		store: s.store, registry: s.registry, advice: s.advice, record: r, hostIP: net3 + "100", zones: s.zones, capacity: workerCapacity, services: services,
	}
	s.advice.allows = func(id string) bool { return !s.fleet.isFirst(id) }
	for _, standIn := range []struct {
		address *string
		handler http.Handler
	}{{&s.logAddress, s.store.handler()}, {&s.machinesAddress, s.fleet.handler()}, {&s.adviceAddress, s.advice.handler()}} {
		listener, err := net.Listen("tcp", net3+"200:0")
		if err != nil {
			return s, err
		}
		*standIn.address = listener.Addr().String()
		server := &http.Server{Handler: standIn.handler, ReadHeaderTimeout: time.Minute}
		s.servers = append(s.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	if err := s.fleet.fill(); err != nil {
		return s, err
	}
	for n, zone := range s.zones {
		h, err := startEntryHost(s, "front-"+zone+"-1", zone, fmt.Sprintf("%s%d", net3, n+1))
		if err != nil {
			return s, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.temp)
	} else {
		fmt.Println("logs of the entry hosts:", s.temp)
	}
}

// configure publishes the next version of the configuration.
func (s *site) configure(routes []route) {
	s.version += 2
	var rows, pools []map[string]any
	for _, r := range routes {
		row := map[string]any{
			"name": r.name, "host": callerHost, "path-prefix": r.prefix, "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": 600,
			"priority": 0, "service": r.service, "max-attempts": maxAttempts, "stretch": 1.6,
		}
		if r.advised {
			row["advice"] = map[string]int64{
				"decide-ms": s.advice.decide.Milliseconds(), "each-ms": s.advice.each.Milliseconds(), "valid-ms": s.advice.validTime.Milliseconds(),
			}
		}
		rows = append(rows, row)
	}
	for _, p := range s.fleet.services {
		pools = append(pools, map[string]any{
			"name": p.name, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": true, "spare": p.spare,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": rows, "services": pools,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.put("keyed.op", "config", value)
	s.record.say("configuration %d is acknowledged: %s", s.version, describe(routes))
}

func describe(routes []route) string {
	texts := make([]string, 0, len(routes))
	for _, r := range routes {
		texts = append(texts, r.prefix+" -> "+r.service)
	}
	return strings.Join(texts, ", ")
}

// awaitReady waits until all entry hosts are ready and the owners have met their workers.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for _, h := range s.hosts {
		for {
			status, _ := s.call(http.MethodGet, "http://"+h.health+"/api/ready", nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	s.record.say("all entry hosts are ready")
	return nil
}

// call sends a request and returns the status, 0 without an answer, and the body.
func (s *site) call(method, url string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = callerHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Hornbeammast-Deadline-Ms", "3000")
	reply, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, err.Error()
	}
	return reply.StatusCode, string(data)
}

// send sends a caller's request to one of the entry hosts and records it.
func (s *site) send(method string, host int, path string, body []byte) (int, string) {
	h := s.hosts[host%len(s.hosts)]
	status, reply := s.call(method, "http://"+h.callers+path, body)
	s.record.add("client %s %s at %s -> %d %s", method, path, h.name, status, strings.TrimSpace(reply))
	return status, reply
}

// submit hands a job in and reports whether it was accepted. It asks again where a sound client
// may.
func (s *site) submit(prefix string, job *submission) bool {
	s.registry.submit(job)
	for attempt := range 5 {
		status, _ := s.send(http.MethodPost, attempt, prefix+job.id, job.body())
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as an entry host shows it, or a description of the refusal.
func (s *site) state(prefix, id string) string {
	status, reply := s.send(http.MethodGet, 0, prefix+id, nil)
	var shown struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(reply), &shown) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return shown.State
}

// ended reports whether an entry host ended by itself.
func (s *site) ended() bool {
	for _, h := range s.hosts {
		if !h.running() {
			s.record.say("%s has ended by itself", h.name)
			return true
		}
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) } //nolint:gosec // No secret.
