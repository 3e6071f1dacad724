package quota

import "time"

const (
	// smallChange is the relative change of a part below which a pool that wants no more keeps
	// it, so that noise in the demand causes no messages.
	smallChange = 0.25
	// smallStep is the same for parts that pools contend for.
	smallStep = 0.05
	// stuckAfter is how long a pool must have had an unused part, less than what it wants, before
	// the part is combined with those of other such pools: its tasks may be too large for it.
	stuckAfter = time.Second
	// stuckShare is the least unused share of such a part.
	stuckShare = 0.1
	// turnTime is how long one of these pools has the combined parts. It covers a reduction, its
	// confirmation, the raise and the start of a task.
	turnTime = 2 * time.Second
	// reserveShare is the share of what no pool wants that is lent to none, so that the next
	// division can lend it without taking it back first.
	reserveShare = 0.5
)

// share divides the quota of one organisation at a time.
type share struct {
	now   time.Time
	floor float64
	// raises is set if parts may be raised.
	raises bool
	pools  []member
	// free is what no pool has.
	free float64
	// raised is reused by level.
	raised []levelled
}

// member is a pool in the division of one quota.
type member struct {
	pool             *pool
	answers, mayRise bool
	Use
	risenAt time.Time
	// held is the largest part that the pool may have or use now, at least the floor; unsettled
	// is set if it has not confirmed the last one sent.
	held      float64
	unsettled bool
	// target is the part that the pool should have, next the one that it is sent if changed is set.
	target, next float64
	changed      bool
}

// load prepares the division for an organisation. It returns false if no pool uses or wants any of
// its quota.
func (s *share) load(organisation string, uses []usage) bool {
	active := false
	s.free = 1
	for n := range s.pools {
		m := &s.pools[n]
		u := uses[n].under(m.pool.token, s.floor, s.now)
		if m.answers {
			u.expire(s.now)
		}
		m.Use, m.risenAt = u.Use, u.risenAt
		m.held, m.unsettled = max(u.Part, u.Used, s.floor), false
		if len(m.pool.unconfirmed) > 0 {
			m.held = max(m.held, m.pool.unconfirmedPart(organisation))
			last, sent := m.pool.lastSent(organisation)
			m.unsettled = sent && last != m.Part
		}
		m.target, m.next, m.changed = 0, m.Part, false
		s.free -= m.held
		active = active || m.Used > 0 || m.Wanted > 0
	}
	return active
}

// divide sets the next parts of all pools that answer.
func (s *share) divide() {
	if s.used() > 1+tolerance {
		// The quota was lowered: nothing is started anywhere until use is within it.
		for n := range s.pools {
			s.pools[n].reduce(0)
		}
		return
	}
	if !s.raises {
		return
	}
	s.setTargets()
	if s.free >= -tolerance {
		s.raise()
	}
	s.lower()
}

func (s *share) used() float64 {
	sum := 0.0
	for n := range s.pools {
		sum += s.pools[n].Used
	}
	return sum
}

func (m *member) reduce(part float64) {
	if m.answers && (part < m.Part || m.unsettled) {
		m.next, m.changed = part, true
	}
}

// base is what the pool should keep: the floor and, but for the tolerance, what it uses, so that
// use moves to other pools gradually.
func (s *share) base(m *member) float64 { return max(s.floor, m.Used/RestartFactor) }

// setTargets sets the parts that the pools should have. What no pool wants is spread evenly, but for
// the reserve.
// If the quota is too small for all wants, the least wants are met and the others get the same.
func (s *share) setTargets() {
	budget, answering := 1.0, 0
	wanted := 0.0
	for n := range s.pools {
		m := &s.pools[n]
		if !m.answers {
			budget -= m.held
			continue
		}
		answering++
		m.target = max(s.floor, m.Wanted)
		wanted += m.target
	}
	if answering == 0 {
		return
	}
	if wanted <= budget {
		for n := range s.pools {
			s.pools[n].target += (1 - reserveShare) * (budget - wanted) / float64(answering)
		}
		return
	}
	s.level(budget)
	s.combineStuck()
}

// level lowers the targets to a common level so that their sum is the budget.
func (s *share) level(budget float64) {
	s.raised = s.raised[:0]
	for n := range s.pools {
		m := &s.pools[n]
		switch base := s.base(m); {
		case !m.answers:
		case m.target > s.floor:
			s.raised = append(s.raised, levelled{m, base})
		default:
			budget -= s.floor
		}
	}
	low, high := 0.0, 1.0
	for range levelSteps {
		middle := (low + high) / 2
		sum := 0.0
		for _, r := range s.raised {
			sum += max(r.base, min(r.target, middle))
		}
		if sum > budget {
			high = middle
		} else {
			low = middle
		}
	}
	for _, r := range s.raised {
		r.target = max(r.base, min(r.target, low))
	}
}

// levelled is a pool that should have more than the floor, and what it should keep.
type levelled struct {
	*member
	base float64
}

// levelSteps is the number of halvings in the search for a level: more than a float64 distinguishes.
const levelSteps = 50

// combineStuck gives the unused parts of the pools whose tasks seem too large for them to one after
// the other, and, for one turn, to the other pools. Otherwise none of them might ever start one.
func (s *share) combineStuck() {
	var stuck []*member
	combined := 0.0
	for n := range s.pools {
		m := &s.pools[n]
		idle := m.target - s.base(m)
		if !m.answers || m.Wanted <= m.target+tolerance || s.now.Sub(m.risenAt) < stuckAfter || m.target-m.Used < stuckShare*m.target {
			continue
		}
		stuck = append(stuck, m)
		combined += max(0, idle)
	}
	if len(stuck) == 0 {
		return
	}
	for _, m := range stuck {
		m.target = min(m.target, s.base(m))
	}
	turn := int(s.now.UnixNano()/int64(turnTime)) % (len(stuck) + 1)
	if turn == len(stuck) {
		s.spreadAmongOthers(stuck, combined)
		return
	}
	for n := range stuck {
		m := stuck[(turn+n)%len(stuck)]
		given := max(0, min(combined, m.Wanted-m.target))
		m.target += given
		combined -= given
	}
	stuck[turn].target += combined
}

// spreadAmongOthers gives a combined part to the pools that are not stuck and want more.
func (s *share) spreadAmongOthers(stuck []*member, combined float64) {
	isStuck := make(map[*member]bool, len(stuck))
	for _, m := range stuck {
		isStuck[m] = true
	}
	wanted := 0.0
	for n := range s.pools {
		if m := &s.pools[n]; m.answers && !isStuck[m] {
			wanted += max(0, m.Wanted-m.target)
		}
	}
	if wanted <= 0 {
		for _, m := range stuck {
			m.target += combined / float64(len(stuck))
		}
		return
	}
	for n := range s.pools {
		if m := &s.pools[n]; m.answers && !isStuck[m] {
			m.target += max(0, m.Wanted-m.target) * min(1, combined/wanted)
		}
	}
}
