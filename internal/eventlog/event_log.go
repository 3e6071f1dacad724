// Package eventlog writes one line of key=value pairs for each event.
package eventlog

import (
	"fmt"
	"io"
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Log writes events.
type Log struct {
	logger *logrus.Logger

	mu     sync.Mutex
	counts map[string]int64
}

// Counts tells how often each event happened, lines that were left out included.
func (l *Log) Counts() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.counts)
}

// levels are the events that are not of level info.
var levels = map[string]logrus.Level{
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

// New makes a log that writes to w from a level on.
func New(w io.Writer, level string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log-level %q: use debug, info, warning or error", level)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	return &Log{logger: logger, counts: map[string]int64{}}, nil
}

// Event writes one line: the event's name and pairs of keys and values.
func (l *Log) Event(name string, pairs ...any) {
	l.mu.Lock()
	l.counts[name]++
	l.mu.Unlock()
	level, ok := levels[name]
	if !ok {
		level = logrus.InfoLevel
	}
	fields := logrus.Fields{}
	for n := 0; n+1 < len(pairs); n += 2 {
		fields[fmt.Sprint(pairs[n])] = pairs[n+1]
	}
	l.logger.WithFields(fields).Log(level, name)
}

// timeFormat has milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"
