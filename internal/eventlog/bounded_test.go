package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	mu      sync.Mutex
	unblock chan struct{}
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(line)
}

func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &blockedWriter{unblock: make(chan struct{})}
		b := NewBoundedWriter(s, 1<<30)
		log, err := New(b, "info")
		if err != nil {
			t.Fatal(err)
		}
		for range 2 * maxQueuedLines {
			log.Event("job-taken", "job", "x")
		}
		if got := log.Counts()["job-taken"]; got != 2*maxQueuedLines {
			t.Errorf("%d events counted; want %d", got, 2*maxQueuedLines)
		}
		close(s.unblock)
		time.Sleep(2 * dropReportInterval)
		log.Event("job-taken", "job", "y")
		b.Close()
		if !strings.Contains(s.buf.String(), "msg=lines-left-out count=") {
			t.Error("no line reports how many lines were dropped")
		}
	})
}

func TestBytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBoundedWriter(&out, 1000)
		for range 100 {
			if _, err := b.Write([]byte(strings.Repeat("x", 99) + "\n")); err != nil {
				t.Fatal(err)
			}
		}
		b.Close()
		if out.Len() != 1000 {
			t.Errorf("%d bytes in a second; want 1000", out.Len())
		}
	})
}

// TestFullLogFormatsNothing fills the rate and logs on: the lines must be counted as
// dropped, and the events counted, without being formatted.
func TestFullLogFormatsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBoundedWriter(&out, minLineBytes)
		log, err := New(b, "info")
		if err != nil {
			t.Fatal(err)
		}
		formatted := 0
		log.Event("job-taken", "job", formatCounter{&formatted})
		for range 10 {
			log.Event("job-taken", "job", formatCounter{&formatted})
		}
		if formatted > 1 {
			t.Errorf("%d lines were formatted; want 1", formatted)
		}
		if got := log.Counts()["job-taken"]; got != 11 {
			t.Errorf("%d events counted; want 11", got)
		}
		time.Sleep(2 * time.Second)
		log.Event("x")
		b.Close()
		if !strings.Contains(out.String(), "lines-left-out count=10") {
			t.Errorf("log %q does not report 10 lines as dropped", out.String())
		}
	})
}

// formatCounter counts how often it is formatted.
type formatCounter struct{ formatted *int }

func (c formatCounter) String() string {
	*c.formatted++
	return "x"
}
