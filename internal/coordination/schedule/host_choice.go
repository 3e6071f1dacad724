package schedule

import (
	"slices"
	"time"
)

// hostChoice finds hosts for the tasks of one step in one plan. Placing a task changes no other host than
// its own, so that the others are checked once for all tasks.
type hostChoice struct {
	pool *Pool
	step *step
	now  time.Time
	open []*host
	// hosts are those that may take a task, with their scores for one that avoids none. It is nil before
	// the first choice.
	hosts []scoredHost
}

type scoredHost struct {
	*host
	score float64
}

func (p *Pool) newHostChoice(s *step, r *round) *hostChoice {
	return &hostChoice{pool: p, step: s, now: r.now, open: r.open}
}

// openHosts returns the hosts on which tasks may be started now, whether or not they have room. Placing
// tasks changes only that.
func (p *Pool) openHosts(now time.Time) []*host {
	open := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		if h.reachable() && !now.Before(h.pausedUntil) && p.capacityKnown(h, now) {
			open = append(open, h)
		}
	}
	return open
}

// best returns the same host for a task of the step as bestHost.
func (c *hostChoice) best(t *task) *host {
	if c.varies() {
		return c.pool.bestHost(t, c.now)
	}
	if c.hosts == nil {
		c.check()
	}
	var best *scoredHost
	bestScore := 0.0
	for n := range c.hosts {
		h := &c.hosts[n]
		score := h.score
		if t.avoidHost == h.report.ID {
			score += scoreAvoid
		}
		if best == nil || score > bestScore || (score == bestScore && h.report.ID < best.report.ID) {
			best, bestScore = h, score
		}
	}
	if best == nil {
		return nil
	}
	return best.host
}

// varies reports whether placing a task changes the scores of other hosts, or tasks are scored one by one.
func (c *hostChoice) varies() bool {
	return c.step.def.OneRack || c.pool.neighbours.avoids()
}

func (c *hostChoice) check() {
	c.hosts = []scoredHost{}
	needs := c.step.def.Reserved()
	for _, h := range c.open {
		if needs.Fits(h.free()) && c.pool.allowed(c.step, h, c.now) {
			c.hosts = append(c.hosts, scoredHost{h, c.pool.score(&task{step: c.step}, h, c.now)})
		}
	}
}

// changed checks a host again, after a task was placed on it or gave up its room there.
func (c *hostChoice) changed(h *host) {
	if c.hosts == nil {
		return
	}
	n := slices.IndexFunc(c.hosts, func(s scoredHost) bool { return s.host == h })
	allowed := c.pool.allowed(c.step, h, c.now)
	switch {
	case n >= 0 && allowed:
		c.hosts[n].score = c.pool.score(&task{step: c.step}, h, c.now)
	case n >= 0:
		c.hosts = slices.Delete(c.hosts, n, n+1)
	case allowed:
		c.hosts = append(c.hosts, scoredHost{h, c.pool.score(&task{step: c.step}, h, c.now)})
	}
}
