package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes what was sent, answered and run, and holds the broken rules.
type journal struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	breaks int
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	return &journal{file: file, began: time.Now()}, err
}

func (j *journal) write(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.file, "%9.3f %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes that a rule was broken.
func (j *journal) broken(format string, args ...any) {
	j.write("BROKEN "+format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks++
}

func (j *journal) broke() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.breaks
}

// ledger follows the runs of all tasks.
type ledger struct {
	record *journal

	mu      sync.Mutex
	running map[string]map[runKey]string
	specs   map[string]string
	starts  int
	// doneRuns holds the runs of each task that have ended done, early those of them that ended before a
	// later start of their task, and noted the tasks of which such an end was taken note of.
	doneRuns map[string][]int64
	early    map[runKey]bool
	noted    map[string]bool
}

func newLedger(record *journal) *ledger {
	return &ledger{record: record, running: map[string]map[runKey]string{}, specs: map[string]string{}, doneRuns: map[string][]int64{}, early: map[runKey]bool{}, noted: map[string]bool{}}
}

// submitted notes the spec of a job before it is sent.
func (l *ledger) submitted(job, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.specs[job] = spec
}

// started checks the start of a run by the rules TWICE and UNASKED.
func (l *ledger) started(key runKey, worker, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	job, _, _ := jobOf(key.task)
	if l.specs[job] != spec {
		l.record.broken("UNASKED: %s run %d at %s has a spec that is not that of its submission", key.task, key.run, worker)
	}
	if l.noted[key.task] {
		l.record.broken("TWICE: %s run %d begins at %s after the end of a run as done was taken note of", key.task, key.run, worker)
	}
	for _, run := range l.doneRuns[key.task] {
		l.early[runKey{key.task, run}] = true
	}
	runs := l.running[key.task]
	for other, at := range runs {
		l.record.broken("TWICE: %s run %d begins at %s while run %d works at %s; both workers are up", key.task, key.run, worker, other.run, at)
	}
	if runs == nil {
		runs = map[runKey]string{}
		l.running[key.task] = runs
	}
	runs[key] = worker
	l.record.write("run %s %d begins at %s", key.task, key.run, worker)
}

func (l *ledger) ended(key runKey, worker, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[key.task], key)
	if how == "done" {
		l.doneRuns[key.task] = append(l.doneRuns[key.task], key.run)
	}
	l.record.write("run %s %d ends at %s: %s", key.task, key.run, worker, how)
}

// takenNote notes that an end was taken note of, while its worker's lease had not lapsed since.
func (l *ledger) takenNote(key runKey, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.write("end of %s %d taken note of: %s", key.task, key.run, how)
	if how != "done" {
		return
	}
	l.noted[key.task] = true
	if l.early[key] {
		l.record.broken("TWICE: %s was started again after run %d had ended as done, which is taken note of now", key.task, key.run)
	}
}

// counts returns how many starts there were, and how many tasks have ended as done.
func (l *ledger) counts() (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, len(l.doneRuns)
}
