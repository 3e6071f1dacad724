// Package queue holds the configuration that operators publish for jobs: queues,
// the pools that run them, and limits.
package queue

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one numbered version, whole.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
}

// Queue is where callers hand jobs in.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Pool       string
	// Priority 0 comes first and may preempt others.
	Priority    int
	MaxAttempts int
	// Stretch times a job's longest chain, and LatencyTarget, is its objective.
	Stretch       float64
	LatencyTarget time.Duration
	Timeout       time.Duration
	// Advised means that only some hosts may run a step; the advice service knows which.
	Advised bool
}

// Pool is a set of hosts that run the tasks of its queues.
type Pool struct {
	Name string
	// Guarded workers refuse what does not fit them.
	Guarded bool
	// Spare hosts are off until they move to another pool.
	Spare    bool
	MaxConns int
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int
}

// Find gives the queue with the longest path prefix for a host, and the rest of the path.
func (c *Configuration) Find(host, path string) (*Queue, string, bool) {
	var best *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.PathPrefix):], true
}

// Pool finds a pool by name.
func (c *Configuration) Pool(name string) (Pool, bool) {
	n := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if n < 0 {
		return Pool{}, false
	}
	return c.Pools[n], true
}
