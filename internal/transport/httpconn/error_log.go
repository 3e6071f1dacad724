package httpconn

import (
	"io"
	"sync"
	"time"
)

// errorLog writes at most errorLogBytesPerSecond, because clients may cause its lines.
type errorLog struct {
	out io.Writer

	mu     sync.Mutex
	second int64
	left   int
}

func newErrorLog(out io.Writer) *errorLog { return &errorLog{out: out} }

// Write writes a line if the rate allows it.
func (l *errorLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.left = now, errorLogBytesPerSecond
	}
	if l.left -= len(line); l.left > 0 {
		_, _ = l.out.Write(line)
	}
	return len(line), nil
}
