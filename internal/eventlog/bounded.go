package eventlog

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// queueLines is how many lines may wait for a slow reader.
	queueLines = 2048
	// leftOutInterval is how often the lines that were left out are counted in a line.
	leftOutInterval = time.Second
)

// Bounded writes lines to w from a goroutine of its own, at most a number of bytes
// a second. A line that there is no room for is left out and counted; a write never
// blocks.
type Bounded struct {
	w         io.Writer
	perSecond int
	lines     chan []byte
	done      chan struct{}

	mu       sync.Mutex
	closed   bool
	second   time.Time
	bytes    int
	leftOut  int
	reported time.Time
}

// NewBounded starts a writer.
func NewBounded(w io.Writer, perSecond int) *Bounded {
	b := &Bounded{w: w, perSecond: perSecond, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues a line.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.second) >= time.Second {
		b.second, b.bytes = now, 0
	}
	if b.closed || b.bytes+len(line) > b.perSecond {
		b.leftOut++
		return len(line), nil
	}
	if b.leftOut > 0 && now.Sub(b.reported) >= leftOutInterval {
		b.queue([]byte("time=" + now.Format(timeFormat) + " level=warning msg=lines-left-out count=" + strconv.Itoa(b.leftOut) + "\n"))
		b.leftOut, b.reported = 0, now
	}
	b.queue(append([]byte(nil), line...))
	return len(line), nil
}

func (b *Bounded) queue(line []byte) {
	select {
	case b.lines <- line:
		b.bytes += len(line)
	default:
		b.leftOut++
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		// Nobody is left to be told that the log can't be written.
		_, _ = b.w.Write(line)
	}
}

// Close writes what is queued.
func (b *Bounded) Close() {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.lines)
	}
	<-b.done
}
