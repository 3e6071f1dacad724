// Package eventlog writes each event as one line of key=value pairs.
package eventlog

import (
	"fmt"
	"io"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Log writes events and counts them by name.
type Log struct {
	logger *logrus.Logger
	// limiter is the log's writer if that drops lines, or nil.
	limiter limiter

	mu     sync.Mutex
	counts map[string]int64
}

// limiter is a writer that drops lines over a rate.
type limiter interface {
	// DropIfFull counts a line as dropped if it would be.
	DropIfFull() bool
}

// Counts returns how often each event occurred, including those below the log level and
// those whose lines were dropped.
func (l *Log) Counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}

// eventLevels lists the events that are not of level info.
var eventLevels = map[string]logrus.Level{
	"log-unreachable":      logrus.WarnLevel,
	"log-gap":              logrus.WarnLevel,
	"restore-begun":        logrus.WarnLevel,
	"record-unreadable":    logrus.ErrorLevel,
	"snapshot-unreadable":  logrus.ErrorLevel,
	"snapshot-failed":      logrus.WarnLevel,
	"announce-failed":      logrus.WarnLevel,
	"peer-unreachable":     logrus.WarnLevel,
	"report-unconfirmed":   logrus.WarnLevel,
	"restore-unconfirmed":  logrus.WarnLevel,
	"step-unconfirmed":     logrus.WarnLevel,
	"step-refused":         logrus.DebugLevel,
	"reboot-failed":        logrus.WarnLevel,
	"drain-given-back":     logrus.WarnLevel,
	"proposal-unconfirmed": logrus.WarnLevel,
	"fatal":                logrus.ErrorLevel,
}

// New creates a log that writes the events of at least the given level to w.
func New(w io.Writer, level string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log-level %q: use debug, info, warning or error", level)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	l := &Log{logger: logger, counts: map[string]int64{}}
	l.limiter, _ = w.(limiter)
	return l, nil
}

// Event counts an event and writes it as one line: its name and its pairs of keys and
// values.
func (l *Log) Event(name string, pairs ...any) {
	l.mu.Lock()
	l.counts[name]++
	l.mu.Unlock()
	level, ok := eventLevels[name]
	if !ok {
		level = logrus.InfoLevel
	}
	if !l.logger.IsLevelEnabled(level) || (l.limiter != nil && l.limiter.DropIfFull()) {
		return
	}
	fields := make(logrus.Fields, len(pairs)/2)
	for n := 0; n+1 < len(pairs); n += 2 {
		fields[fmt.Sprint(pairs[n])] = pairs[n+1]
	}
	l.logger.WithFields(fields).Log(level, name)
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"
