package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalled is a reader that takes nothing until it is let go.
type stalled struct {
	mu  sync.Mutex
	let chan struct{}
	buf bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(line)
}

func TestStalledReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stalled{let: make(chan struct{})}
		b := NewBounded(s, 1<<30)
		log, err := New(b, "info")
		if err != nil {
			t.Fatal(err)
		}
		for range 2 * queueLines {
			log.Event("job-taken", "job", "x")
		}
		if got := log.Counts()["job-taken"]; got != 2*queueLines {
			t.Errorf("%d events counted; want %d", got, 2*queueLines)
		}
		close(s.let)
		time.Sleep(2 * leftOutInterval)
		log.Event("job-taken", "job", "y")
		b.Close()
		if !strings.Contains(s.buf.String(), "msg=lines-left-out count=") {
			t.Error("the lines that were left out are not counted in a line")
		}
	})
}

func TestBytesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out, 1000)
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
