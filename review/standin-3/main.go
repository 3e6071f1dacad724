// Command standin plays the cases of the third review: a platform of stand-ins on loopback addresses
// and the project's own daemons as separate processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unsound = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		os.Exit(unsound)
	}
	play, ok := map[string]func(*site, bool) error{"upkeep": playUpkeep, "lives": playLives}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(unsound)
	}
	os.Exit(run(play))
}

func run(play func(*site, bool) error) int {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unsound
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	s, err := newSite(os.Args[2], folder, filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unsound
	}
	err = play(s, os.Getenv("TROUBLE") != "0")
	s.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return unsound
	}
	if n := s.record.broke(); n > 0 {
		fmt.Printf("broken %d times\n", n)
		return broken
	}
	fmt.Println("held")
	return held
}
