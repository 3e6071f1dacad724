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
	ID     string   `arg:"" help:"ID of a job or of a request."`
	Files  []string `arg:"" help:"Logs, one file for each entry host." type:"existingfile"`
	Output string   `help:"text or json." enum:"text,json" default:"text" short:"o"`
}

// explained is one line of a job's story.
type explained struct {
	At    time.Time `json:"at"`
	From  string    `json:"from"`
	Event string    `json:"event"`
	// Context: the line is about a host or pool of the job, not about the job.
	Context bool              `json:"context,omitempty"`
	Details map[string]string `json:"details"`
	pairs   []eventline.Pair
}

// Run prints what entry hosts did with one job, in the order of time.
func (k *explainCmd) Run(c *console) error {
	own, err := k.collect(func(l *eventline.Line) bool { return about(l, k.ID) })
	if err != nil {
		return err
	}
	if len(own) == 0 {
		return errors.Newf("no line tells of %s; give the logs of all entry hosts", k.ID)
	}
	slices.SortStableFunc(own, byTime)
	around := surroundings(own)
	context, err := k.collect(func(l *eventline.Line) bool { return !about(l, k.ID) && around.includes(l) })
	if err != nil {
		return err
	}
	for n := range context {
		context[n].Context = true
	}
	story := slices.Concat(own, context)
	slices.SortStableFunc(story, byTime)
	if k.Output == "json" {
		return printJSON(c, story)
	}
	return printStory(c.out, story)
}

func byTime(a, b explained) int { return a.At.Compare(b.At) }

// about tells whether a line is about the job: a task's name begins with the job's ID.
func about(l *eventline.Line, id string) bool {
	return l.Get("job") == id || l.Get("request") == id || l.Get("task") == id || strings.HasPrefix(l.Get("task"), id+".")
}

// collect gives the lines of all files that match.
func (k *explainCmd) collect(match func(*eventline.Line) bool) ([]explained, error) {
	var found []explained
	for _, path := range k.Files {
		if err := collectFile(path, match, &found); err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	return found, nil
}

func collectFile(path string, match func(*eventline.Line) bool, found *[]explained) (err error) {
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
		*found = append(*found, explained{At: l.At, From: from, Event: l.Event, Details: details, pairs: l.Pairs})
	})
	return err
}

// surrounding is what a job's lines name, and their time.
type surrounding struct {
	first, last time.Time
	hosts       map[string]struct{}
	pools       map[string]struct{}
}

// aroundBefore is how long before a job's first line a change of owner may still matter:
// an owner acts, and a host runs on, for some seconds.
const aroundBefore = 5 * time.Second

func surroundings(own []explained) surrounding {
	s := surrounding{
		first: own[0].At.Add(-aroundBefore), last: own[len(own)-1].At, hosts: map[string]struct{}{}, pools: map[string]struct{}{},
	}
	for _, l := range own {
		s.hosts[l.Details["host"]] = struct{}{}
		s.pools[l.Details["pool"]] = struct{}{}
	}
	delete(s.hosts, "")
	delete(s.pools, "")
	return s
}

// dependencies are the events of contact with the log and of tenures.
var dependencies = []string{
	"membership-lost", "membership-regained", "partition-acquired", "partition-loaded", "partition-released", "partition-fenced",
	"record-delayed", "shutdown-begun", "job-host-started", "lines-left-out",
}

// includes tells whether a line is about a host or pool of the job, or may explain why
// nobody acted.
func (s *surrounding) includes(l *eventline.Line) bool {
	if l.At.Before(s.first) || l.At.After(s.last) {
		return false
	}
	if slices.Contains(dependencies, l.Event) {
		return true
	}
	if strings.HasPrefix(l.Event, "host-") {
		_, ok := s.hosts[l.Get("host")]
		return ok
	}
	if strings.HasPrefix(l.Event, "pool-") {
		_, ok := s.pools[l.Get("pool")]
		return ok
	}
	return false
}

// printStory writes one line an event, with the time since the first one; what is not
// about the job itself stands in brackets.
func printStory(out io.Writer, story []explained) error {
	began := story[0].At
	for _, l := range story {
		var details strings.Builder
		for _, p := range l.pairs {
			_, _ = fmt.Fprintf(&details, " %s=%q", p.Key, p.Value)
		}
		event := l.Event
		if l.Context {
			event = "(" + event + ")"
		}
		if _, err := fmt.Fprintf(out, "%9.3fs  %-20s %s%s\n", l.At.Sub(began).Seconds(), l.From, event, details.String()); err != nil {
			return errors.Wrap(err, "write the story")
		}
	}
	return nil
}
