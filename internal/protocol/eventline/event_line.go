// Package eventline parses the event lines, in logfmt, that processes write to their logs.
package eventline

import (
	"bufio"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one event.
type Line struct {
	// At is when the line was written, by the clock of the process that wrote it.
	At    time.Time
	Event string
	// Pairs are the other keys and values, in the order of the line.
	Pairs []Pair
}

// Pair is one key with its value.
type Pair struct{ Key, Value string }

// Get returns the value of a key, or "" if the line does not have the key.
func (l *Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// maxLineBytes bounds the length of a line; events are far shorter.
const maxLineBytes = 1 << 20

// Read calls handle for each event of a log and returns the number of lines that are not
// events. A log collector may prefix lines with its own text, and other programs may write
// to the same log.
func Read(r io.Reader, handle func(Line)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := parseLine(lines.Text())
		if !ok {
			skipped++
			continue
		}
		handle(line)
	}
	return skipped, errors.Wrap(lines.Err(), "read the log")
}

// eventPrefix is the text that each event begins with.
const eventPrefix = `time="`

func parseLine(text string) (Line, bool) {
	at := strings.Index(text, eventPrefix)
	if at < 0 {
		return Line{}, false
	}
	var line Line
	decoder := logfmt.NewDecoder(strings.NewReader(text[at:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				var err error
				if line.At, err = time.Parse(time.RFC3339Nano, value); err != nil {
					return Line{}, false
				}
			case "msg":
				line.Event = value
			case "level":
			default:
				line.Pairs = append(line.Pairs, Pair{key, value})
			}
		}
	}
	return line, decoder.Err() == nil && line.Event != ""
}
