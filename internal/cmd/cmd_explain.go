package cmd

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/eventline"
)

// explainCmd is `hornbeammast explain ID FILE ... [--output text|json]`.
type explainCmd struct {
	ID     string   `arg:"" help:"ID of a job or a request."`
	Files  []string `arg:"" help:"Event logs, one file for each entry host." type:"existingfile"`
	Output string   `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

// timelineEntry is one event in the timeline of a job.
type timelineEntry struct {
	At time.Time `json:"at"`
	// From is the name of the log file without its extension.
	From  string `json:"from"`
	Event string `json:"event"`
	// Context is set if the event is not about the job itself but about its surroundings,
	// such as a host or pool of the job.
	Context bool              `json:"context,omitempty"`
	Details map[string]string `json:"details"`
	pairs   []eventline.Pair
}

// Run prints the events of one job or request and their context in the order of time.
func (k *explainCmd) Run(c *console) error {
	direct, err := k.collect(func(l *eventline.Line) bool { return concerns(l, k.ID) })
	if err != nil {
		return err
	}
	if len(direct) == 0 {
		return errors.Newf("no line tells of %s; give the logs of all entry hosts", k.ID)
	}
	slices.SortStableFunc(direct, byTime)
	filter := newContextFilter(direct)
	context, err := k.collect(func(l *eventline.Line) bool { return !concerns(l, k.ID) && filter.includes(l) })
	if err != nil {
		return err
	}
	for n := range context {
		context[n].Context = true
	}
	timeline := slices.Concat(direct, context)
	slices.SortStableFunc(timeline, byTime)
	if k.Output == "json" {
		return printJSON(c, timeline)
	}
	return printTimeline(c.out, timeline)
}

func byTime(a, b timelineEntry) int { return a.At.Compare(b.At) }

// concerns reports whether a line is about the job or request. The name of a task begins
// with the ID of its job.
func concerns(l *eventline.Line, id string) bool {
	return l.Get("job") == id || l.Get("request") == id || l.Get("task") == id || strings.HasPrefix(l.Get("task"), id+".")
}

// collect returns the matching lines of all files.
func (k *explainCmd) collect(match func(*eventline.Line) bool) ([]timelineEntry, error) {
	var found []timelineEntry
	for _, path := range k.Files {
		if err := collectFile(path, match, &found); err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	return found, nil
}

func collectFile(path string, match func(*eventline.Line) bool, found *[]timelineEntry) (err error) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	from := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	_, err = eventline.Read(file, func(l eventline.Line) {
		if !match(&l) {
			return
		}
		details := make(map[string]string, len(l.Pairs))
		for _, p := range l.Pairs {
			details[p.Key] = p.Value
		}
		*found = append(*found, timelineEntry{At: l.At, From: from, Event: l.Event, Details: details, pairs: l.Pairs})
	})
	return err
}

// contextFilter selects context lines by the hosts and pools that a job's lines name and by
// the time that these lines span.
type contextFilter struct {
	first, last time.Time
	hosts       map[string]struct{}
	pools       map[string]struct{}
	// organisations holds the job's organisation; ended is set if a line is about the job's end.
	organisations map[string]struct{}
	ended         bool
}

// contextLead is how long before a job's first line context is collected. A change of
// owner may affect the job some seconds later, because a former owner and its hosts may keep
// running for that long.
const contextLead = 5 * time.Second

func newContextFilter(direct []timelineEntry) contextFilter {
	f := contextFilter{
		first: direct[0].At.Add(-contextLead), last: direct[len(direct)-1].At, hosts: map[string]struct{}{}, pools: map[string]struct{}{},
		organisations: map[string]struct{}{},
	}
	for _, l := range direct {
		f.ended = f.ended || slices.Contains(endEvents, l.Event)
		f.hosts[l.Details["host"]] = struct{}{}
		f.pools[l.Details["pool"]] = struct{}{}
		f.organisations[l.Details["organisation"]] = struct{}{}
	}
	delete(f.hosts, "")
	delete(f.pools, "")
	delete(f.organisations, "")
	return f
}

// contextEvents are the events about the connection to the log and about tenures, which
// may affect any job.
var contextEvents = []string{
	"membership-lost", "membership-regained", "partition-acquired", "partition-loaded", "partition-released", "partition-fenced",
	"record-delayed", "shutdown-begun", "job-host-started", "lines-left-out",
}

// endEvents tell of the end of a job, which may otherwise still wait after its last line.
var endEvents = []string{"job-done", "job-failed", "job-cancelled"}

// includes reports whether a line is about a host or pool of the job, or is an event that
// may explain why no entry host acted.
func (f *contextFilter) includes(l *eventline.Line) bool {
	if l.At.Before(f.first) || (l.At.After(f.last) && (f.ended || l.Event != "quota-reached")) {
		return false
	}
	if slices.Contains(contextEvents, l.Event) {
		return true
	}
	if strings.HasPrefix(l.Event, "host-") {
		_, ok := f.hosts[l.Get("host")]
		return ok
	}
	if l.Event == "quota-reached" || l.Event == "share-waits" {
		_, inPool := f.pools[l.Get("pool")]
		_, owned := f.organisations[l.Get("organisation")]
		return inPool && owned
	}
	if strings.HasPrefix(l.Event, "pool-") || l.Event == "interference-found" || l.Event == "interference-cleared" {
		_, ok := f.pools[l.Get("pool")]
		return ok
	}
	return false
}

// printTimeline writes one line per event with the time since the first event. Context
// events are in parentheses.
func printTimeline(out io.Writer, timeline []timelineEntry) error {
	began := timeline[0].At
	for _, l := range timeline {
		var details strings.Builder
		for _, p := range l.pairs {
			_, _ = fmt.Fprintf(&details, " %s=%q", p.Key, p.Value)
		}
		event := l.Event
		if l.Context {
			event = "(" + event + ")"
		}
		if _, err := fmt.Fprintf(out, "%9.3fs  %-20s %s%s\n", l.At.Sub(began).Seconds(), l.From, event, details.String()); err != nil {
			return errors.Wrap(err, "write the timeline")
		}
	}
	return nil
}
