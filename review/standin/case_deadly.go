package main

import "time"

const (
	deadlyPrefix = "/cufi501/"
	// deadlyAfter is how long the task works before it crashes its worker.
	deadlyAfter = 4 * time.Second
	deadlyWork  = 8 * time.Second
	deadlyWatch = 60 * time.Second
	// crashesToBlame is after how many crashes the further starts count, maxStarts how many of them
	// are allowed.
	crashesToBlame, maxStarts = 3, 3
)

// lateCrashes hands in a task that crashes each worker that starts it, some seconds after the start.
func lateCrashes(root string, r *record, trouble bool) (bool, error) {
	s, err := newSite(root, r, []service{{"mapsvc", 9, false}, {"coop-misc", 8, true}})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	s.configure([]route{{"r-maps", deadlyPrefix, "mapsvc", false}})
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	step := stepSpec{Count: 1, CPU: 1800, MemoryMB: 5000, Estimate: deadlyWork.Milliseconds(), work: deadlyWork}
	if trouble {
		step.deadlyAfter = deadlyAfter
	}
	job := &submission{newID(), []stepSpec{step}}
	if !s.submit(deadlyPrefix, job) {
		return false, errNotAccepted
	}
	time.Sleep(deadlyWatch)
	starts, crashes := s.registry.startsOf(job.id), s.fleet.crashCount()
	r.say("the job is shown as %q after %d starts and %d crashes of workers", s.state(deadlyPrefix, job.id), starts, crashes)
	if s.ended() {
		return false, errEnded
	}
	return crashes >= crashesToBlame && starts > crashesToBlame+maxStarts, nil
}
