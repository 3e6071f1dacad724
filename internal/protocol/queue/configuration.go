// Package queue defines the configuration that operators publish for jobs: queues, the
// pools that run their tasks, and limits.
package queue

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one complete version of the configuration.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// RequiresKeys is set if callers need a key of an organisation, except for public queues.
	RequiresKeys  bool
	Organisations []Organisation
	// Problems says what of the published configuration is not used, and what to do about it.
	Problems []string
}

// Queue accepts jobs from callers under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Pool       string
	// Priority 0 is the highest; its tasks may preempt others.
	Priority    int
	MaxAttempts int
	// The objective for a job's completion time is Stretch times its critical path plus
	// LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
	Timeout       time.Duration
	// NeedsPlacementCheck means that only some hosts may run a step, and that the
	// placement check decides which.
	NeedsPlacementCheck bool
	// Public means that callers need no key.
	Public bool
}

// Address identifies the queue to callers across configurations, in which its name and its pool
// may change. A queue that callers reach by its name only is identified by that.
func (q *Queue) Address() string {
	if address := q.Host + q.PathPrefix; address != "" {
		return address
	}
	return q.Name
}

// Pool is a set of hosts that run the tasks of its queues.
type Pool struct {
	Name string
	// ChecksCapacity means that the pool's workers refuse runs that exceed their free capacity.
	ChecksCapacity bool
	// Spare means that the pool's hosts are off until they move to another pool.
	Spare    bool
	MaxConns int
}

// Limits are bounds on the requests of callers; 0 means the default.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time in which a header must arrive, IdleTimeout the time for
	// which a connection may be silent.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Find returns the queue of a host with the longest prefix that matches the path, and the
// path after the prefix.
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

// Pool returns the pool with a name.
func (c *Configuration) Pool(name string) (Pool, bool) {
	n := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if n < 0 {
		return Pool{}, false
	}
	return c.Pools[n], true
}
