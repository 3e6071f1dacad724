package jobhost

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in microseconds up to a minute, with two digits.
	metricHighest = int64(time.Minute / time.Microsecond)
	metricDigits  = 2
)

// latency counts calls of one kind and how long they took.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int64
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, metricHighest, metricDigits)}
}

func (l *latency) observe(took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
	}
	// A value beyond the range counts as the highest.
	_ = l.histogram.RecordValue(min(metricHighest, max(1, took.Microseconds())))
}

// metrics are the latencies of what an entry host does.
type metrics struct {
	submit, state, cancel, start, record *latency
}

func newMetrics() *metrics {
	return &metrics{submit: newLatency(), state: newLatency(), cancel: newLatency(), start: newLatency(), record: newLatency()}
}

// Snapshot is a latency as it is served, in microseconds.
type Snapshot struct {
	Count  int64 `json:"count"`
	Failed int64 `json:"failed"`
	P50    int64 `json:"p50-us"`
	P99    int64 `json:"p99-us"`
	Max    int64 `json:"max-us"`
}

func (l *latency) snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram
	return Snapshot{h.TotalCount(), l.failed, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()}
}

// all gives the latencies by name.
func (m *metrics) all() map[string]Snapshot {
	return map[string]Snapshot{
		"submit": m.submit.snapshot(), "state": m.state.snapshot(), "cancel": m.cancel.snapshot(),
		"start": m.start.snapshot(), "record": m.record.snapshot(),
	}
}
