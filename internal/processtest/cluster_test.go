// Package processtest tests hornbeammast as separate processes, with faults such as killed
// processes and cut connections.
package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/transport/caller"
)

// waitTimeout bounds each wait for a condition. It is far above the expected time.
const waitTimeout = 60 * time.Second

var binary struct {
	once sync.Once
	path string
	err  error
}

// buildBinary builds the program once for all tests and returns its path.
func buildBinary(t testing.TB) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes, skipped in short mode")
	}
	binary.once.Do(func() {
		dir, err := os.MkdirTemp("", "hornbeammast")
		if err != nil {
			binary.err = err
			return
		}
		binary.path = filepath.Join(dir, "hornbeammast")
		out, err := exec.Command("go", "build", "-o", binary.path, "github.com/hornbeammast/hornbeammast").CombinedOutput()
		if err != nil {
			binary.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if binary.err != nil {
		t.Fatal(binary.err)
	}
	return binary.path
}

// process is a running hornbeammast process with its output.
type process struct {
	name  string
	cmd   *exec.Cmd
	mu    sync.Mutex
	log   bytes.Buffer
	lines chan string
}

// startProcess starts the program and kills it at the end of the test.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(buildBinary(t), args...), lines: make(chan string, 1024)}
	out, in := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(out)
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		_ = in.Close()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("log of %s:\n%s", name, tail(p.log.String(), 4000))
		}
	})
	return p
}

func tail(text string, n int) string {
	return text[max(0, len(text)-n):]
}

func (p *process) read(out io.Reader) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.log.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		select {
		case p.lines <- scanner.Text():
		default:
		}
	}
}

// awaitLine waits for a line of output that contains a text, and returns it.
func (p *process) awaitLine(t testing.TB, text string) string {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			t.Fatalf("%s: timed out waiting for a line with %q", p.name, text)
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_, _ = p.cmd.Process.Wait()
}

// entryHost is the process of an entry host with the relay between it and the platform.
type entryHost struct {
	*process
	settings string
	link     *relay
	caller   string
	operator string
	peer     string
}

// cluster is a stand-in platform with workers and entry hosts.
type cluster struct {
	t          testing.TB
	standin    *process
	platform   string
	workers    map[string]string
	entryHosts []*entryHost
}

const workerCount = 6

// newCluster starts a stand-in, workers, and two entry hosts in each of two data centres.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, workers: map[string]string{}}
	c.standin = startProcess(t, "standin", "standin", "--listen=127.0.0.1:0", "--worker-port=0",
		"--workers="+strconv.Itoa(workerCount), "--silent=1500ms", "--reboot-time=300ms")
	for range workerCount {
		name, address, _ := strings.Cut(c.standin.awaitLine(t, "w"), " ")
		c.workers[name] = address
	}
	c.platform = strings.TrimPrefix(c.standin.awaitLine(t, "platform"), "platform ")
	c.startEntryHosts("gilgit", "gilgit", "thatta", "thatta")
	return c
}

// startEntryHosts starts an entry host in each of the data centres and waits until all serve.
func (c *cluster) startEntryHosts(dataCentres ...string) {
	c.t.Helper()
	for n, dataCentre := range dataCentres {
		e := &entryHost{link: newRelay(c.t, c.platform)}
		e.settings = c.writeSettings(fmt.Sprintf("e%d", n), dataCentre, e.link.address())
		c.entryHosts = append(c.entryHosts, e)
		c.startEntryHost(e)
	}
	for _, e := range c.entryHosts {
		c.eventually("entry host serves", func() bool {
			s, err := c.status(e)
			return err == nil && s.Refusing == ""
		})
	}
}

func (c *cluster) writeSettings(name, dataCentre, platform string, peers ...string) string {
	path := filepath.Join(c.t.TempDir(), name+".json")
	text := fmt.Sprintf(`{
  // The system chooses the ports.
  "name": %q, "data-centre": %q,
  "caller-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0",
  "platform-address": %q, "peers": [%s],
  "members": {"isolation-bound": "4s", "removal-bound": "8s", "fail-bound": "2s", "lost-bound": "3s"},
}`, name, dataCentre, platform, quoteAll(peers))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func quoteAll(names []string) string {
	parts := []string{}
	for _, name := range names {
		parts = append(parts, strconv.Quote(name))
	}
	return strings.Join(parts, ", ")
}

// startEntryHost starts or restarts the process of an entry host.
func (c *cluster) startEntryHost(e *entryHost) {
	c.t.Helper()
	e.process = startProcess(c.t, filepath.Base(e.settings), "serve", "--settings", e.settings)
	line := e.awaitLine(c.t, "entry-host-started")
	e.caller = logField(line, "caller")
	e.operator = logField(line, "operator")
	e.peer = logField(line, "peer")
}

// logField returns the value of a key in a log line.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// eventually polls a condition until it is true, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

var httpClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func do(method, url string, header map[string]string, body string) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	answer, err := httpClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, string(text), err
}

func (c *cluster) status(e *entryHost) (operatorapi.Status, error) {
	var s operatorapi.Status
	_, _, body, err := do(http.MethodGet, "http://"+e.operator+"/status", nil, "")
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// change submits an operator's change and returns the HTTP status and the outcome.
func (c *cluster) change(e *entryHost, path, body string) (int, operatorapi.Outcome) {
	c.t.Helper()
	status, _, text, err := do(http.MethodPost, "http://"+e.operator+path, nil, body)
	if err != nil {
		c.t.Fatal(err)
	}
	var outcome operatorapi.Outcome
	_ = json.Unmarshal([]byte(text), &outcome)
	return status, outcome
}

// injectFault starts or ends a fault in the stand-in.
func (c *cluster) injectFault(action, value string) {
	c.t.Helper()
	status, _, body, err := do(http.MethodPost, "http://"+c.platform+"/standin/"+action+"/"+value, nil, "")
	if err != nil || status != http.StatusNoContent {
		c.t.Fatalf("stand-in answered with status %d: %s %v", status, body, err)
	}
}

// document returns a configuration with the first half of the workers in gilgit and the
// rest in thatta.
func (c *cluster) document() string {
	hosts := map[string]any{}
	for n := range workerCount {
		name := fmt.Sprintf("w%d", n)
		hosts[name] = map[string]any{
			"data-centre": []string{"gilgit", "thatta"}[n/(workerCount/2)], "rack": fmt.Sprintf("r%d", n),
			"address": netip.MustParseAddrPort(c.workers[name]), "pool": "maps", "slots": 8,
		}
	}
	text, err := json.Marshal(map[string]any{
		"pools": map[string]any{"maps": map[string]any{"budget": map[string]any{"min-available-hosts": 4}}, "spare": map[string]any{"spare": true}},
		"kinds": map[string]any{"map": map[string]any{"pools": []string{"maps", "spare"}, "guarantee": 0.5}},
		"hosts": hosts,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return string(text)
}

// configure submits the document and waits until it is in force everywhere.
func (c *cluster) configure() {
	c.t.Helper()
	if status, outcome := c.change(c.entryHosts[0], "/config/patch?format=merge-patch&base=0", c.document()); status != http.StatusOK {
		c.t.Fatalf("patch got status %d: %+v", status, outcome)
	}
	c.awaitVersion(1, c.entryHosts...)
	for _, e := range c.entryHosts {
		c.eventually("requests are served at "+e.name, func() bool {
			return c.request(e, newID("first"), true, "run-ms=1").status == http.StatusOK
		})
	}
}

// awaitVersion waits until the entry hosts have at least the version in force.
func (c *cluster) awaitVersion(version uint64, entryHosts ...*entryHost) {
	c.t.Helper()
	for _, e := range entryHosts {
		c.eventually(fmt.Sprintf("version %d at %s", version, e.name), func() bool {
			s, err := c.status(e)
			return err == nil && s.Version >= version
		})
	}
}

// answer is the response that a caller received.
type answer struct {
	status  int
	verdict string
	cause   string
	body    string
	err     error
}

// request sends a caller's request to an entry host.
func (c *cluster) request(e *entryHost, id string, idempotent bool, query string) answer {
	status, header, body, err := do(http.MethodPost, "http://"+e.caller+"/work?"+query, map[string]string{
		caller.HeaderKind: "map", caller.HeaderTeam: "t", caller.HeaderRequestID: id,
		caller.HeaderIdempotent: strconv.FormatBool(idempotent), caller.HeaderTimeout: "8s",
	}, "payload")
	return answer{status, header.Get(caller.HeaderVerdict), header.Get(caller.HeaderCause), body, err}
}

// runs returns how often the workers ran a request in total.
func (c *cluster) runs(id string) int {
	c.t.Helper()
	total := 0
	for _, address := range c.workers {
		_, _, body, err := do(http.MethodGet, "http://"+address+"/standin/runs", nil, "")
		if err != nil {
			c.t.Fatal(err)
		}
		runs := map[string]int{}
		if err := json.Unmarshal([]byte(body), &runs); err != nil {
			c.t.Fatal(err)
		}
		total += runs[id]
	}
	return total
}

// newID returns a request ID that begins with the current time.
func newID(name string) string {
	return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
}

// host returns an upstream host as an entry host sees it, or a zero Host.
func (c *cluster) host(e *entryHost, name string) operatorapi.Host {
	s, err := c.status(e)
	if err != nil {
		return operatorapi.Host{}
	}
	for _, h := range s.Hosts {
		if h.Name == name {
			return h
		}
	}
	return operatorapi.Host{}
}
