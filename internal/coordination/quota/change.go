package quota

import "math"

// raise lends what is free: first to the pools that want it, in proportion, then to all. Up to
// what a pool holds already, its part costs nothing, unless the pools hold more than the quota, which
// was lowered.
func (s *share) raise() {
	needed := 0.0
	for n := range s.pools {
		needed += s.pools[n].need()
	}
	share := 1.0
	if free := max(0, s.free); needed > free {
		share = free / needed
	}
	for n := range s.pools {
		m := &s.pools[n]
		if !m.answers || !m.mayRise {
			continue
		}
		given := m.need() * share
		s.free -= given
		m.raiseTo(min(m.target, m.held+given), m.Wanted > m.Part)
	}
	s.raiseUnwanted()
}

// need returns what a pool lacks of its target of what it wants.
func (m *member) need() float64 {
	if !m.answers || !m.mayRise {
		return 0
	}
	return max(0, min(m.target, m.Wanted)-m.held)
}

// raiseUnwanted spreads what is still free.
func (s *share) raiseUnwanted() {
	missing := 0.0
	for n := range s.pools {
		if m := &s.pools[n]; m.answers && m.mayRise {
			missing += max(0, m.target-max(m.held, m.next))
		}
	}
	if s.free <= tolerance || missing <= 0 {
		return
	}
	share := min(1, s.free/missing)
	for n := range s.pools {
		m := &s.pools[n]
		if !m.answers || !m.mayRise {
			continue
		}
		from := max(m.held, m.next)
		given := max(0, m.target-from) * share
		if given > smallChange*from {
			m.next, m.changed = from+given, true
			s.free -= given
		}
	}
}

// raiseTo raises the part. A change that is small and neither reaches the target nor what the pool
// wants is left out.
func (m *member) raiseTo(part float64, wanted bool) {
	if part <= m.Part+tolerance {
		return
	}
	reaches := part >= min(m.target, m.Wanted)-tolerance
	if (wanted && (reaches || part-m.Part > smallStep*m.Part)) || part-m.Part > smallChange*m.Part {
		m.next, m.changed = part, true
	}
}

// lower takes back what pools have beyond their targets: all of it if others lack it, and otherwise
// only large amounts.
func (s *share) lower() {
	lacking := 0.0
	for n := range s.pools {
		m := &s.pools[n]
		if m.answers && m.mayRise {
			lacking += max(0, min(m.target, m.Wanted)-max(m.held, m.next))
		}
	}
	least := smallChange
	if lacking > tolerance {
		least = smallStep
	}
	for n := range s.pools {
		m := &s.pools[n]
		if !m.answers || m.changed {
			continue
		}
		if excess := m.Part - m.target; excess > least*m.Part || (lacking > tolerance && excess > lackingShare*lacking) {
			m.reduce(m.target)
			continue
		}
		if m.unsettled {
			// The last allotment may be lost or still on its way.
			m.next, m.changed = math.Min(m.Part, m.target), true
		}
	}
}

// lackingShare is the share of what other pools lack that is worth a message for itself.
const lackingShare = 0.1
