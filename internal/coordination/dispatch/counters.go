package dispatch

import (
	"sync/atomic"

	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// Counters count the outcomes of requests and events of the dispatcher.
type Counters struct {
	answered     atomic.Int64
	joined       atomic.Int64
	notRun       atomic.Int64
	mayHaveRun   atomic.Int64
	ranNoAnswer  atomic.Int64
	retries      atomic.Int64
	unresponsive atomic.Int64
	ejections    atomic.Int64
}

func newCounters() *Counters { return &Counters{} }

// count adds the outcome of one request.
func (c *Counters) count(answer Answer, err error) {
	if err == nil {
		c.answered.Add(1)
		if answer.Joined {
			c.joined.Add(1)
		}
		return
	}
	switch verdict.FromError(err).Verdict {
	case verdict.NotRun:
		c.notRun.Add(1)
	case verdict.Ran:
		c.ranNoAnswer.Add(1)
	default:
		c.mayHaveRun.Add(1)
	}
}

// CounterValues returns the counters by their metric names.
func (d *Dispatcher) CounterValues() map[string]int64 {
	c := d.counters
	return map[string]int64{
		"answered":      c.answered.Load(),
		"joined":        c.joined.Load(),
		"not-run":       c.notRun.Load(),
		"may-have-run":  c.mayHaveRun.Load(),
		"ran-no-answer": c.ranNoAnswer.Load(),
		"retries":       c.retries.Load(),
		"silent":        c.unresponsive.Load(),
		"ejections":     c.ejections.Load(),
		"in-flight":     int64(d.flights.count()),
	}
}
