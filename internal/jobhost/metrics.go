package jobhost

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are recorded in microseconds, up to one minute, with two significant digits.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// latency counts the calls of one kind and records their durations.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int64
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

func (l *latency) observe(took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
	}
	// Values outside the range are clamped to it.
	_ = l.histogram.RecordValue(min(maxLatencyMicros, max(1, took.Microseconds())))
}

// metrics holds the latencies of an entry host's operations.
type metrics struct {
	submit, state, cancel, start, record *latency
}

func newMetrics() *metrics {
	return &metrics{submit: newLatency(), state: newLatency(), cancel: newLatency(), start: newLatency(), record: newLatency()}
}

// LatencySummary is a latency as shown in metrics and dumps; durations are in microseconds.
type LatencySummary struct {
	Count  int64 `json:"count"`
	Failed int64 `json:"failed"`
	P50    int64 `json:"p50-us"`
	P99    int64 `json:"p99-us"`
	Max    int64 `json:"max-us"`
}

func (l *latency) summary() LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram
	return LatencySummary{h.TotalCount(), l.failed, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()}
}

// summaries returns the latency summaries by operation name.
func (m *metrics) summaries() map[string]LatencySummary {
	return map[string]LatencySummary{
		"submit": m.submit.summary(), "state": m.state.summary(), "cancel": m.cancel.summary(),
		"start": m.start.summary(), "record": m.record.summary(),
	}
}
