package eventline

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRead reads events with a collector's prefix and with quoted values, and skips lines
// that are not events.
func TestRead(t *testing.T) {
	log := `time="2026-06-21T09:37:39.044Z" level=info msg=run-start host=w-1 task=00000000000000aa.0.0.0 checkpoint=
collector-7 time="2026-06-21T09:37:39.1Z" level=info msg=run-ended error="may-have-run (upstream-silent): \"EOF\"" how=lapsed
panic: not an event
time="yesterday" msg=run-start
time="2026-06-21T09:37:39.044Z" level=info
`
	var got []Line
	skipped, err := Read(strings.NewReader(log), func(l Line) { got = append(got, l) })
	if err != nil {
		t.Fatal(err)
	}
	at := time.Date(2026, 6, 21, 9, 37, 39, 0, time.UTC)
	want := []Line{
		{At: at.Add(44 * time.Millisecond), Event: "run-start", Pairs: []Pair{{"host", "w-1"}, {"task", "00000000000000aa.0.0.0"}, {"checkpoint", ""}}},
		{At: at.Add(100 * time.Millisecond), Event: "run-ended", Pairs: []Pair{{"error", `may-have-run (upstream-silent): "EOF"`}, {"how", "lapsed"}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if skipped != 3 {
		t.Errorf("skipped %d lines; want 3", skipped)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`time="2026-06-21T09:37:39.044Z" level=info msg=run-start host=w-1`)
	f.Add(`time="` + "\x00")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Read(strings.NewReader(text), func(l Line) {
			if l.Event == "" {
				t.Error("an event without a name")
			}
		}); err != nil {
			t.Skip(err)
		}
	})
}
