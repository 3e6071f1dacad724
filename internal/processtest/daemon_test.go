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

// usage is the resource usage of a process up to a point in time.
type usage struct {
	cpu time.Duration
	// rss is the resident memory in MiB.
	rss float64
	// bytesRelayed is the traffic with the platform in both directions.
	bytesRelayed int64
	at           time.Time
}

// clockTick is the unit of CPU times in /proc on Linux.
const clockTick = 10 * time.Millisecond

func usageOf(b *testing.B, e *entryHost) usage {
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
	return usage{time.Duration(user+system) * clockTick, float64(kB) / 1024, e.link.bytesRelayed.Load(), time.Now()}
}

// reportUsage reports the usage since an earlier point in time as benchmark metrics.
func reportUsage(b *testing.B, e *entryHost, before usage) {
	b.Helper()
	after := usageOf(b, e)
	took := after.at.Sub(before.at)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/took.Seconds(), "core-%")
	b.ReportMetric(after.rss, "MB")
	b.ReportMetric(float64(after.bytesRelayed-before.bytesRelayed)/1000/took.Seconds(), "KB/s")
}

// BenchmarkDaemon measures the resource usage of one entry host without requests, with
// fleets of three sizes: idle, and with a change of the configuration each second, which is
// 27 times the target rate of 3,200 a day.
func BenchmarkDaemon(b *testing.B) {
	const span = 15 * time.Second
	for _, size := range []emulator.Fleet{emulator.ScaledTargetFleet(50, 17), emulator.ScaledTargetFleet(293, 100), emulator.ScaledTargetFleet(880, 302)} {
		name := fmt.Sprintf("hosts=%d", len(size.Document.Hosts))
		c := &cluster{t: b, workers: map[string]string{}}
		c.standin = startProcess(b, "standin", "standin", "--listen=127.0.0.1:0", "--workers=0", fmt.Sprintf("--listed=%d", len(size.Document.Hosts)))
		c.platform = strings.TrimPrefix(c.standin.awaitLine(b, "platform"), "platform ")
		c.startEntryHosts("dc0", "dc0", "dc1", "dc1")
		size.Document.Maintenance.Enabled = false
		body, err := json.Marshal(size.Document)
		if err != nil {
			b.Fatal(err)
		}
		if status, outcome := c.change(c.entryHosts[0], "/config/patch?format=merge-patch&base=0", string(body)); status != http.StatusOK {
			b.Fatalf("patch got status %d: %+v", status, outcome)
		}
		c.awaitVersion(1, c.entryHosts...)
		b.Run(name+"/idle", func(b *testing.B) {
			for b.Loop() {
				before := usageOf(b, c.entryHosts[1])
				time.Sleep(span)
				reportUsage(b, c.entryHosts[1], before)
			}
		})
		version := uint64(1)
		b.Run(name+"/busy", func(b *testing.B) {
			for b.Loop() {
				delays := []time.Duration{}
				before := usageOf(b, c.entryHosts[1])
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(time.Second) {
					delays = append(delays, c.measurePatch(b, version))
					version++
				}
				reportUsage(b, c.entryHosts[1], before)
				slices.Sort(delays)
				b.ReportMetric(float64(delays[len(delays)*99/100].Milliseconds()), "in-force-p99-ms")
			}
		})
	}
}

// measurePatch submits a small patch and returns the time until it is in force everywhere.
func (c *cluster) measurePatch(b *testing.B, version uint64) time.Duration {
	b.Helper()
	began := time.Now()
	body := fmt.Sprintf(`{"teams":{"t":{"quota":%d}}}`, version)
	path := fmt.Sprintf("/config/patch?format=merge-patch&base=%d", version)
	if status, outcome := c.change(c.entryHosts[0], path, body); status != http.StatusOK {
		b.Fatalf("patch got status %d: %+v", status, outcome)
	}
	for _, e := range c.entryHosts {
		for c.versionInUse(e) <= version {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// versionInUse returns the configuration version in an entry host's metrics, or 0 without
// an answer.
func (c *cluster) versionInUse(e *entryHost) uint64 {
	var vars struct {
		Hornbeammast map[string]int64 `json:"hornbeammast"`
	}
	_, _, body, err := do(http.MethodGet, "http://"+e.operator+"/debug/vars", nil, "")
	if err != nil || json.Unmarshal([]byte(body), &vars) != nil {
		return 0
	}
	return uint64(vars.Hornbeammast["config-version"])
}
