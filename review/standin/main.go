// Command standin plays the cases of a review: it starts the project's entry hosts as separate
// processes beside stand-ins of their platform, workers and clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// play is a case. It reports whether the rule was broken.
type play func(root string, r *record, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"gang-checkpoints": gangCheckpoints,
	"advice-burst":     adviceBurst,
	"moved-queue":      movedQueue,
	"advice-added":     adviceAdded,
	"wide-bounds":      wideBounds,
	"late-crashes":     lateCrashes,
	"large-job":        largeJob,
	"rough-estimates":  roughEstimates,
}

func main() {
	dir := flag.String("dir", ".", "folder for record.txt")
	root := flag.String("root", ".", "the repository")
	name := flag.String("case", "", "the case")
	flag.Parse()
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(run(*name, absolute, *dir, os.Getenv("TROUBLE") != "0"))
}

func run(name, root, dir string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	r, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	time.AfterFunc(maxDuration, func() {
		r.say("the case takes too long")
		_ = r.close()
		os.Exit(exitFailed)
	})
	r.say("case %s, trouble %v", name, trouble)
	broken, err := p(root, r, trouble)
	status := exitHeld
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		status = exitFailed
	case broken:
		r.say("the rule was broken")
		status = exitBroken
	default:
		r.say("the rule held")
	}
	if err := r.close(); err != nil {
		return exitFailed
	}
	return status
}
