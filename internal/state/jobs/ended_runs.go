package jobs

// AnyRunEnded reports whether a run of any task has been recorded as done or failed, or the
// job has ended.
func (j *Job) AnyRunEnded() bool {
	if j.Ended() {
		return true
	}
	for _, o := range j.occurrences {
		if o.anyRunEnded() {
			return true
		}
	}
	return false
}

func (o *Occurrence) anyRunEnded() bool {
	if o.Done {
		return true
	}
	for n := range o.Steps {
		if o.Steps[n].done > 0 {
			return true
		}
		for t := range o.Steps[n].Tasks {
			if len(o.Steps[n].Tasks[t].FailedRuns) > 0 {
				return true
			}
		}
	}
	return false
}
