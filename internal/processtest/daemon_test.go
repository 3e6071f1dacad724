package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/emulator"
)

// usage is what a process has used so far.
type usage struct {
	cpu     time.Duration
	rss     float64
	carried int64
	at      time.Time
}

// clockTick is the unit of the kernel's CPU times on Linux.
const clockTick = 10 * time.Millisecond

func usageOf(b *testing.B, e *entry) usage {
	b.Helper()
	proc := fmt.Sprintf("/proc/%d/", e.cmd.Process.Pid)
	stat, err := os.ReadFile(proc + "stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndex(string(stat), ")")+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	status, err := os.ReadFile(proc + "status")
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kB, _ := strconv.Atoi(strings.Fields(rest)[0])
	return usage{time.Duration(user+system) * clockTick, float64(kB) / 1024, e.link.carried.Load(), time.Now()}
}

func report(b *testing.B, e *entry, before usage) {
	b.Helper()
	after := usageOf(b, e)
	took := after.at.Sub(before.at)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/took.Seconds(), "core-%")
	b.ReportMetric(after.rss, "MB")
	b.ReportMetric(float64(after.carried-before.carried)/1000/took.Seconds(), "KB/s")
}

// BenchmarkDaemon measures the control plane of one entry host, without
// requests, at three sizes: idle, and with a change each second, which is 27
// times the target's 3,200 a day.
func BenchmarkDaemon(b *testing.B) {
	const span = 15 * time.Second
	for _, size := range []emulator.Fleet{emulator.TargetPart(50, 17), emulator.TargetPart(293, 100), emulator.TargetPart(880, 302)} {
		name := fmt.Sprintf("hosts=%d", len(size.Document.Hosts))
		c := &cluster{t: b, workers: map[string]string{}}
		c.standin = start(b, "standin", "standin", "--listen=127.0.0.1:0", "--workers=0", fmt.Sprintf("--listed=%d", len(size.Document.Hosts)))
		c.platform = strings.TrimPrefix(c.standin.line(b, "platform"), "platform ")
		c.launchAll("dc0", "dc0", "dc1", "dc1")
		size.Document.Maintenance.Enabled = false
		body, err := json.Marshal(size.Document)
		if err != nil {
			b.Fatal(err)
		}
		if status, outcome := c.change(c.entries[0], "/config/patch?format=merge-patch&base=0", string(body)); status != http.StatusOK {
			b.Fatalf("%d %+v", status, outcome)
		}
		c.inForce(1, c.entries...)
		b.Run(name+"/idle", func(b *testing.B) {
			for b.Loop() {
				before := usageOf(b, c.entries[1])
				time.Sleep(span)
				report(b, c.entries[1], before)
			}
		})
		version := uint64(1)
		b.Run(name+"/busy", func(b *testing.B) {
			for b.Loop() {
				delays := []time.Duration{}
				before := usageOf(b, c.entries[1])
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
					delays = append(delays, c.timeChange(b, version))
					version++
				}
				report(b, c.entries[1], before)
				slices.Sort(delays)
				b.ReportMetric(float64(delays[len(delays)*99/100].Milliseconds()), "in-force-p99-ms")
			}
		})
	}
}

// timeChange submits a small patch and waits until it is in force everywhere.
func (c *cluster) timeChange(b *testing.B, version uint64) time.Duration {
	b.Helper()
	began := time.Now()
	body := fmt.Sprintf(`{"teams":{"t":{"quota":%d}}}`, version)
	path := fmt.Sprintf("/config/patch?format=merge-patch&base=%d", version)
	if status, outcome := c.change(c.entries[0], path, body); status != http.StatusOK {
		b.Fatalf("%d %+v", status, outcome)
	}
	for _, e := range c.entries {
		for c.positionInUse(e) <= version {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// positionInUse is the version that an entry host's metrics show.
func (c *cluster) positionInUse(e *entry) uint64 {
	var vars struct {
		Hornbeammast map[string]int64 `json:"hornbeammast"`
	}
	_, _, body, err := do(http.MethodGet, "http://"+e.operator+"/debug/vars", nil, "")
	if err != nil || json.Unmarshal([]byte(body), &vars) != nil {
		return 0
	}
	return uint64(vars.Hornbeammast["config-version"])
}
