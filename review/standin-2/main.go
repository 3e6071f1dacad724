// Command standin plays the cases of the second review: it stands in for the store, the workers,
// the machine service and the clients, and starts entry hosts as separate processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*recorder, bool) (*site, error){
	"poison":      poison,
	"large-gang":  largeGang,
	"frozen-post": frozenPost,
	"lasting":     lasting,
	"late-upkeep": lateUpkeep,
	"other-kind":  otherKind,
	"preempted":   preempted,
	"takeover":    takeover,
	"recut":       recut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("the case takes too long")
		os.Exit(exitNotRun)
	})
	s, err := cases[os.Args[1]](rec, trouble)
	if s != nil {
		s.close()
	}
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	}
	starts, breaks := s.check.result()
	rec.note("%d starts, %d breaks", starts, len(breaks))
	fmt.Printf("%d starts, %d breaks\n", starts, len(breaks))
	for _, b := range breaks {
		fmt.Println(b)
	}
	if len(breaks) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
