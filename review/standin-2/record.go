package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// brief is set while only summaries are written.
	brief atomic.Bool
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) note(format string, args ...any) {
	if !r.brief.Load() {
		r.summary(format, args...)
	}
}

func (r *recorder) summary(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
