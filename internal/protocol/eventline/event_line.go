// Package eventline reads the key=value lines that processes write.
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
	// At is the time by the clock of the process that wrote the line.
	At    time.Time
	Event string
	// Pairs are the other keys and values, in the line's order.
	Pairs []Pair
}

// Pair is one key with its value.
type Pair struct{ Key, Value string }

// Get gives a value, empty if the line has none.
func (l *Line) Get(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// maxLine bounds one line, in bytes; the events are far shorter.
const maxLine = 1 << 20

// Read gives each event of a log to take. What is no event is passed over and counted:
// a collector may put words of its own before a line, and other programs may write too.
func Read(r io.Reader, take func(Line)) (others int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, ok := parse(lines.Text())
		if !ok {
			others++
			continue
		}
		take(line)
	}
	return others, errors.Wrap(lines.Err(), "read the log")
}

// start is how each event begins.
const start = `time="`

func parse(text string) (Line, bool) {
	at := strings.Index(text, start)
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
