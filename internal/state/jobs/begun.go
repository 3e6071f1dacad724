package jobs

// Begun reports whether a run of any task has been recorded as done or failed, or the
// job has ended.
func (j *Job) Begun() bool {
	if j.Ended() {
		return true
	}
	for _, o := range j.occurrences {
		if o.begun() {
			return true
		}
	}
	return false
}

func (o *Occurrence) begun() bool {
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
