// Package processtest runs the product as separate processes and breaks them.
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

// patience bounds each wait for a condition; it is far above what is expected.
const patience = 60 * time.Second

var binary struct {
	once sync.Once
	path string
	err  error
}

// build builds the program once for all tests.
func build(t testing.TB) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
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

// process is one process of the product.
type process struct {
	name string
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	seen chan string
}

func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(build(t), args...), seen: make(chan string, 1024)}
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
		case p.seen <- scanner.Text():
		default:
		}
	}
}

// line waits for a line with a text in it.
func (p *process) line(t testing.TB, text string) string {
	t.Helper()
	timeout := time.After(patience)
	for {
		select {
		case line := <-p.seen:
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			t.Fatalf("%s never wrote %q", p.name, text)
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_, _ = p.cmd.Process.Wait()
}

// entry is one entry host and the link between it and the platform.
type entry struct {
	*process
	settings string
	link     *relay
	caller   string
	operator string
	peer     string
}

// cluster is a stand-in, workers, and two entry hosts in each of two data centres.
type cluster struct {
	t        testing.TB
	standin  *process
	platform string
	workers  map[string]string
	entries  []*entry
}

const workerCount = 6

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, workers: map[string]string{}}
	c.standin = start(t, "standin", "standin", "--listen=127.0.0.1:0", "--worker-port=0",
		"--workers="+strconv.Itoa(workerCount), "--silent=1500ms", "--reboot-time=300ms")
	for range workerCount {
		name, address, _ := strings.Cut(c.standin.line(t, "w"), " ")
		c.workers[name] = address
	}
	c.platform = strings.TrimPrefix(c.standin.line(t, "platform"), "platform ")
	c.launchAll("gilgit", "gilgit", "thatta", "thatta")
	return c
}

// launchAll starts an entry host in each of the data centres and waits until all serve.
func (c *cluster) launchAll(dataCentres ...string) {
	c.t.Helper()
	for n, dataCentre := range dataCentres {
		e := &entry{link: newRelay(c.t, c.platform)}
		e.settings = c.writeSettings(fmt.Sprintf("e%d", n), dataCentre, e.link.address())
		c.entries = append(c.entries, e)
		c.launch(e)
	}
	for _, e := range c.entries {
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
}`, name, dataCentre, platform, quoted(peers))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func quoted(names []string) string {
	parts := []string{}
	for _, name := range names {
		parts = append(parts, strconv.Quote(name))
	}
	return strings.Join(parts, ", ")
}

// launch starts an entry host's process, at first or again.
func (c *cluster) launch(e *entry) {
	c.t.Helper()
	e.process = start(c.t, filepath.Base(e.settings), "serve", "--settings", e.settings)
	line := e.line(c.t, "entry-host-started")
	e.caller = field(line, "caller")
	e.operator = field(line, "operator")
	e.peer = field(line, "peer")
}

func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// eventually waits for a condition.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("never happened: %s", what)
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

func (c *cluster) status(e *entry) (operatorapi.Status, error) {
	var s operatorapi.Status
	_, _, body, err := do(http.MethodGet, "http://"+e.operator+"/status", nil, "")
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// change asks for a change and gives the HTTP status.
func (c *cluster) change(e *entry, path, body string) (int, operatorapi.Outcome) {
	c.t.Helper()
	status, _, text, err := do(http.MethodPost, "http://"+e.operator+path, nil, body)
	if err != nil {
		c.t.Fatal(err)
	}
	var outcome operatorapi.Outcome
	_ = json.Unmarshal([]byte(text), &outcome)
	return status, outcome
}

// standinDo brings a fault about.
func (c *cluster) standinDo(action, value string) {
	c.t.Helper()
	status, _, body, err := do(http.MethodPost, "http://"+c.platform+"/standin/"+action+"/"+value, nil, "")
	if err != nil || status != http.StatusNoContent {
		c.t.Fatalf("stand-in: %d %s %v", status, body, err)
	}
}

// document declares the workers: the first half in gilgit, the rest in thatta.
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
	if status, outcome := c.change(c.entries[0], "/config/patch?format=merge-patch&base=0", c.document()); status != http.StatusOK {
		c.t.Fatalf("patch: %d %+v", status, outcome)
	}
	c.inForce(1, c.entries...)
	for _, e := range c.entries {
		c.eventually("requests are served at "+e.name, func() bool {
			return c.request(e, newID("first"), true, "run-ms=1").status == http.StatusOK
		})
	}
}

func (c *cluster) inForce(version uint64, entries ...*entry) {
	c.t.Helper()
	for _, e := range entries {
		c.eventually(fmt.Sprintf("version %d at %s", version, e.name), func() bool {
			s, err := c.status(e)
			return err == nil && s.Version >= version
		})
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	verdict string
	cause   string
	body    string
	err     error
}

func (c *cluster) request(e *entry, id string, idempotent bool, query string) answer {
	status, header, body, err := do(http.MethodPost, "http://"+e.caller+"/work?"+query, map[string]string{
		caller.HeaderKind: "map", caller.HeaderTeam: "t", caller.HeaderRequestID: id,
		caller.HeaderIdempotent: strconv.FormatBool(idempotent), caller.HeaderTimeout: "8s",
	}, "payload")
	return answer{status, header.Get(caller.HeaderVerdict), header.Get(caller.HeaderCause), body, err}
}

// runs counts how often all workers ran a request.
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

// newID makes a request id that carries its time.
func newID(name string) string {
	return fmt.Sprintf("%d-%s", time.Now().UnixMilli(), name)
}

func (c *cluster) host(e *entry, name string) operatorapi.Host {
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
