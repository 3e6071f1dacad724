package eventlog

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait for a slow underlying writer.
	maxQueuedLines = 2048
	// minLineBytes is the length of a short line.
	minLineBytes = 128
	// maxChunkBytes is the size from which queued lines are written without gathering more.
	maxChunkBytes = 16 << 10
	// dropReportInterval is the minimum time between two lines that report how many
	// lines were dropped.
	dropReportInterval = time.Second
)

// BoundedWriter is an io.Writer that never blocks: a goroutine of its own writes the lines
// to the underlying writer, at most a number of bytes per second. Lines over that rate or
// over the length of the queue are dropped and counted.
type BoundedWriter struct {
	w              io.Writer
	bytesPerSecond int
	lines          chan []byte
	done           chan struct{}

	mu          sync.Mutex
	closed      bool
	windowStart time.Time
	windowBytes int
	dropped     int
	lastReport  time.Time
}

// NewBoundedWriter starts a writer that passes at most bytesPerSecond bytes per second on
// to w.
func NewBoundedWriter(w io.Writer, bytesPerSecond int) *BoundedWriter {
	b := &BoundedWriter{w: w, bytesPerSecond: bytesPerSecond, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// DropIfFull reports whether a line would be dropped now, whatever its length, and counts it
// if so. It saves its caller the formatting of lines that nobody reads.
func (b *BoundedWriter) DropIfFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renewWindow(time.Now())
	if !b.closed && b.windowBytes+minLineBytes <= b.bytesPerSecond {
		return false
	}
	b.dropped++
	return true
}

// renewWindow begins a new second of the rate limit if the last one is over. The lock is
// held.
func (b *BoundedWriter) renewWindow(now time.Time) {
	if now.Sub(b.windowStart) >= time.Second {
		b.windowStart, b.windowBytes = now, 0
	}
}

// Write queues a line, or drops and counts it. It never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.renewWindow(now)
	if b.closed || b.windowBytes+len(line) > b.bytesPerSecond {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 && now.Sub(b.lastReport) >= dropReportInterval {
		b.enqueue([]byte("time=" + now.Format(timeFormat) + " level=warning msg=lines-left-out count=" + strconv.Itoa(b.dropped) + "\n"))
		b.dropped, b.lastReport = 0, now
	}
	b.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

func (b *BoundedWriter) enqueue(line []byte) {
	select {
	case b.lines <- line:
		b.windowBytes += len(line)
	default:
		b.dropped++
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		chunk := line
		for len(chunk) < maxChunkBytes && len(b.lines) > 0 {
			chunk = append(chunk, <-b.lines...)
		}
		// An error here can't be reported: it would have to go to this log.
		_, _ = b.w.Write(chunk)
	}
}

// Close waits until the queued lines are written. Later lines are dropped.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.lines)
	}
	<-b.done
}
