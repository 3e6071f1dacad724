// Package clientload tests that the memory and the descriptors of an entry host's process stay
// within their settings whatever the clients of its listeners send. Its tests run by
// themselves, because another load on the machine changes how fast clients are served.
package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// waitTimeout bounds each wait for a condition. It is far above the expected time.
	waitTimeout = 60 * time.Second
	// sampleInterval is how often a process's descriptors are counted.
	sampleInterval = 20 * time.Millisecond
	// memoryMB and maxDescriptors are the settings of the processes under test.
	memoryMB, maxDescriptors = 80, 700
	// fileDescriptors are the descriptors that are kept for files.
	fileDescriptors = 200
)

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "clientload")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hornbeammast")
	out, err := exec.Command("go", "build", "-o", path, "github.com/hornbeammast/hornbeammast").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// process is a process under test with the bounds that its settings give.
type process struct {
	cmd            *exec.Cmd
	exited         chan struct{}
	memoryKB       int
	maxDescriptors int

	mu              sync.Mutex
	log             bytes.Buffer
	peakDescriptors int
}

// Write keeps the output of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

// serve starts a process with a settings file and ends it with the test.
func serve(t *testing.T, settings string, memoryMB, maxDescriptors int) *process {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes, skipped in short mode")
	}
	executable, err := program()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{exited: make(chan struct{}), memoryKB: memoryMB << 10, maxDescriptors: maxDescriptors}
	p.cmd = exec.Command(executable, "serve", "--settings", path)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			text := p.log.String()
			t.Logf("log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	return p
}

// sample counts the open descriptors until the process ends.
func (p *process) sample() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.peakDescriptors = max(p.peakDescriptors, len(entries))
		p.mu.Unlock()
	}
}

// checkBounds fails the test if the process has exited, or has used more memory or
// descriptors than its settings allow.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatal("the process has exited")
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Logf("memory is not checked: %v", err)
		return
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	descriptors := p.peakDescriptors
	p.mu.Unlock()
	t.Logf("peak: %d MB of %d, %d descriptors of %d", peak>>10, p.memoryKB>>10, descriptors, p.maxDescriptors)
	if peak > p.memoryKB {
		t.Errorf("resident memory reached %d KB; the settings allow %d", peak, p.memoryKB)
	}
	if descriptors > p.maxDescriptors {
		t.Errorf("%d descriptors were open; the settings allow %d", descriptors, p.maxDescriptors)
	}
}

// entryHost is an entry host for jobs.
type entryHost struct {
	*process
	caller, health, peer, metrics string
}

func startEntryHost(t *testing.T) *entryHost {
	t.Helper()
	e := &entryHost{caller: freeAddress(t), health: freeAddress(t), peer: freeAddress(t), metrics: freeAddress(t)}
	e.process = serve(t, fmt.Sprintf(`{"name": "e", "data-centre": "gilgit",
  "caller-address": %q, "health-address": %q, "peer-address": %q, "metrics-address": %q,
  "platform": {"log-address": %q, "partitions": 4}, "process": {"memory-mb": %d, "max-descriptors": %d}}`,
		e.caller, e.health, e.peer, e.metrics, startPlatform(t), memoryMB, maxDescriptors), memoryMB, maxDescriptors-fileDescriptors)
	e.awaitAnswers(t)
	return e
}

// awaitAnswers waits until an ordinary request to each HTTP listener is served.
func (e *entryHost) awaitAnswers(t *testing.T) {
	t.Helper()
	awaitAnswer(t, http.StatusOK, http.MethodPost, "http://"+e.caller+"/jobs/"+fmt.Sprintf("%016x", time.Now().UnixNano()), "maps",
		`{"spec":"s","steps":[{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":100}]}`)
	awaitAnswer(t, http.StatusOK, http.MethodGet, "http://"+e.health+"/", "", "")
	awaitAnswer(t, http.StatusOK, http.MethodGet, "http://"+e.metrics+"/metrics", "", "")
}

// awaitAnswer repeats a request over new connections until it gets the wanted status. A refusal
// is allowed while the load is on.
func awaitAnswer(t *testing.T, want int, method, url, host, body string, header ...string) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = host
		for n := 0; n < len(header); n += 2 {
			r.Header.Set(header[n], header[n+1])
		}
		answer, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 1000))
		_ = answer.Body.Close()
		if answer.StatusCode == want {
			return
		}
		last = fmt.Sprintf("status %d: %s", answer.StatusCode, text)
	}
	t.Fatalf("%s %s got no answer with status %d; last: %s", method, url, want, last)
}
