package schedule

import (
	"math"
	"time"
)

// estimates holds, by queue, how the actual time of tasks compares with the declared one.
type estimates map[string]*ratio

// ratio is a running mean of the actual time divided by the declared one, with its variance.
type ratio struct {
	mean, variance float64
	runs           int
}

const (
	// ratioWeight is the weight of a new run in the running mean; the first runs weigh more.
	ratioWeight = 0.1
	// minRatio and maxRatio bound the sample of a single run, to limit outliers.
	minRatio, maxRatio = 0.2, 5.0
	// minRatioRuns is how many runs it takes before the mean is used.
	minRatioRuns = 5
	// minSpreadRuns is how many runs it takes before the deviation is used.
	minSpreadRuns = 20
	// spreadFactor is the number of standard deviations that an estimate may be off.
	spreadFactor = 2
)

// learn adds the time of a successful run to the mean of its queue.
func (e estimates) learn(queue string, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	sample := min(maxRatio, max(minRatio, float64(actual)/float64(declared)))
	r, ok := e[queue]
	if !ok {
		r = &ratio{mean: 1}
		e[queue] = r
	}
	r.runs++
	weight := max(ratioWeight, 1/float64(r.runs))
	off := sample - r.mean
	r.mean += weight * off
	r.variance = (1 - weight) * (r.variance + weight*off*off)
}

// expected returns the expected time of a task with the given declared time.
func (e estimates) expected(queue string, declared time.Duration) time.Duration {
	r, ok := e[queue]
	if !ok || r.runs < minRatioRuns {
		return declared
	}
	return time.Duration(r.mean * float64(declared))
}

// spread returns the mean and the standard deviation of the ratio of a queue. Before they are known,
// it returns the least ratio.
func (e estimates) spread(queue string) (mean, deviation float64) {
	r, ok := e[queue]
	if !ok || r.runs < minSpreadRuns {
		return minRatio, 0
	}
	return r.mean, math.Sqrt(r.variance)
}

// atLeast returns what a task with the given declared time takes at the least.
func (e estimates) atLeast(queue string, declared time.Duration) time.Duration {
	mean, deviation := e.spread(queue)
	return time.Duration(max(minRatio, mean-spreadFactor*deviation) * float64(declared))
}
