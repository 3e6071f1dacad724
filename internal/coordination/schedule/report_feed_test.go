package schedule

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestReportFeed plays half seconds of a log: "." stands for an answer that brings all
// reports, "o" for an answer to another read, "x" for a refused read and " " for nothing. The wanted
// line has "+" where the reports are current.
func TestReportFeed(t *testing.T) {
	for name, c := range map[string]struct{ log, want string }{
		"the log answers":                    {"....................", "----++++++++++++++++"},
		"no report is read for a while":      {".......oooooo.......", "----++++++---+++++++"},
		"a read is refused":                  {".......x............", "----++++++--++++++++"},
		"an answer is late":                  {".......  ...........", "----++++++++++++++++"},
		"an outage":                          {".......        .........", "----++++++---------+++++"},
		"two outages, the log between is up": {".......   .   .........", "----++++++--------+++++"},
	} {
		t.Run(name, func(t *testing.T) {
			limits := Limits{ContactTime: 3 * time.Second, ReportInterval: 1500 * time.Millisecond}
			f := NewReportFeed(limits)
			var got strings.Builder
			for n, what := range c.log {
				now := epoch.Add(time.Duration(n) * 500 * time.Millisecond)
				switch what {
				case '.':
					f.ReportsRead(now, now)
				case 'o':
					f.LogAnswered(now)
				case 'x':
					f.LogRefused()
				}
				if f.Current(now) {
					got.WriteByte('+')
				} else {
					got.WriteByte('-')
				}
			}
			if diff := cmp.Diff(c.want, got.String()); diff != "" {
				t.Errorf("current (-want +got):\n%s", diff)
			}
		})
	}
}
