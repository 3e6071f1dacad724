package schedule

// saved notes the checkpoint that a host has listed for a run of the task. That of any member of a
// gang is valid for all of them; one of an earlier run is out of date, since ends may be read late.
func (t *task) saved(run int64, checkpoint string) {
	s := t.step
	switch {
	case checkpoint == "":
	case !s.def.Gang:
		t.checkpoint = checkpoint
	case run >= s.gangCheckpointRun:
		s.gangCheckpoint, s.gangCheckpointRun = checkpoint, run
	}
}

// resumesFrom returns the checkpoint from which the task's next run resumes; empty if there is none.
func (t *task) resumesFrom() string {
	if t.step.def.Gang {
		return t.step.gangCheckpoint
	}
	return t.checkpoint
}
