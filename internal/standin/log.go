// Package standin implements a small stand-in for the platform and its workers, for demos,
// tests and manual trials.
package standin

import (
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
)

// maxBatchBytes is the size in bytes at which a read stops adding entries to its batch.
const maxBatchBytes = 4 << 20

// stream is an append-only sequence of entries; the oldest ones expire.
type stream struct {
	mu sync.Mutex
	// first is the offset of the oldest entry that is kept.
	first   uint64
	entries []storedEntry
	// appended is closed by the next append and then replaced.
	appended chan struct{}
}

type storedEntry struct {
	data []byte
	at   time.Time
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

func (s *stream) append(data []byte, at time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.first + uint64(len(s.entries))
	s.entries = append(s.entries, storedEntry{data: data, at: at})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns entries from an offset on, and a channel that is closed by the next append.
func (s *stream) read(from uint64) (platformapi.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := platformapi.Batch{First: s.first, Next: s.first + uint64(len(s.entries)), Entries: []platformapi.Entry{}}
	size := 0
	for offset := max(from, s.first); offset < batch.Next && size < maxBatchBytes; offset++ {
		data := s.entries[offset-s.first].data
		size += len(data)
		batch.Entries = append(batch.Entries, platformapi.Entry{Offset: offset, Data: data})
	}
	return batch, s.appended
}

// expire removes the entries written before a time.
func (s *stream) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.entries) && s.entries[n].at.Before(before) {
		n++
	}
	s.entries = append([]storedEntry(nil), s.entries[n:]...)
	s.first += uint64(n) //nolint:gosec // n counts entries.
}

// Log is the stand-in's log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	appends int64
}

// NewLog creates an empty log.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.streams[name]
	if !ok {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

// Append adds an entry to a stream and returns its offset.
func (l *Log) Append(name string, data []byte) uint64 {
	offset := l.stream(name).append(data, time.Now())
	l.mu.Lock()
	l.appends++
	l.mu.Unlock()
	return offset
}

// Appends returns the number of appends to all streams.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Read returns the entries kept in a stream from an offset on, and a channel that is closed
// by the next append to the stream.
func (l *Log) Read(name string, from uint64) (platformapi.Batch, <-chan struct{}) {
	return l.stream(name).read(from)
}

// Expire removes the entries written before a time from all streams.
func (l *Log) Expire(before time.Time) {
	l.mu.Lock()
	streams := make([]*stream, 0, len(l.streams))
	for _, s := range l.streams {
		streams = append(streams, s)
	}
	l.mu.Unlock()
	for _, s := range streams {
		s.expire(before)
	}
}
