package schedule

import (
	"time"
)

// estimates learns how the actual time of a queue's tasks compares with the
// declared one.
type estimates map[string]*ratio

// ratio is a running mean of actual over declared time.
type ratio struct {
	mean float64
	runs int
}

const (
	// ratioWeight is the weight of a new run in the running mean.
	ratioWeight = 0.1
	// ratioLeast and ratioMost bound what a single run may say.
	ratioLeast, ratioMost = 0.2, 5.0
	// ratioRuns is how many runs it takes before the mean is used.
	ratioRuns = 5
)

// learn takes the time of a run that ended well.
func (e estimates) learn(queue string, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	sample := min(ratioMost, max(ratioLeast, float64(actual)/float64(declared)))
	r, ok := e[queue]
	if !ok {
		r = &ratio{mean: 1}
		e[queue] = r
	}
	r.runs++
	weight := max(ratioWeight, 1/float64(r.runs))
	r.mean += weight * (sample - r.mean)
}

// of gives the expected time of a task.
func (e estimates) of(queue string, declared time.Duration) time.Duration {
	r, ok := e[queue]
	if !ok || r.runs < ratioRuns {
		return declared
	}
	return time.Duration(r.mean * float64(declared))
}
