package quota

import "time"

// maxUnconfirmed bounds the allotments to one pool that are kept apart while they are not confirmed.
const maxUnconfirmed = 8

// listRetention is how long the use of an organisation counts that is not listed. Two lists may be
// lost.
const listRetention = 2*ListInterval + 500*time.Millisecond

// pool is what the decider knows of a pool under its present owner.
type pool struct {
	token    int64
	sequence int64
	// ownerSince is the division in which the owner first answered, answered the last one.
	ownerSince, answered int
	// unconfirmed holds the allotments that were sent and may still be applied, the oldest first.
	unconfirmed []sentAllotment
}

// sentAllotment is an allotment that was sent; merged if it stands for several.
type sentAllotment struct {
	Allotment
	merged bool
}

// usage is how an organisation uses a pool, by the last report.
type usage struct {
	Use
	// owner is the token of the pool's owner that this is of; under another one, the pool has the
	// floor, and the organisation neither uses nor wants anything.
	owner int64
	// risenAt is when the use last rose, or the pool last had all that it wants; listedAt is when a
	// report last listed the organisation.
	risenAt, listedAt time.Time
}

// under returns the usage for the owner of a pool.
func (u *usage) under(owner int64, floor float64, now time.Time) *usage {
	if u.owner != owner {
		*u = usage{Use: Use{Part: floor}, owner: owner, risenAt: now}
	}
	return u
}

func (u *usage) update(use Use, now time.Time) {
	use.Wanted = max(use.Wanted, use.Used)
	if use.Used > u.Used+tolerance || use.Wanted <= use.Part {
		u.risenAt = now
	}
	u.Use, u.listedAt = use, now
}

// expire ends the use of an organisation that has not been listed for long.
func (u *usage) expire(now time.Time) {
	if (u.Used > 0 || u.Wanted > 0) && now.Sub(u.listedAt) >= listRetention {
		u.Use = Use{Part: u.Part}
	}
}

// answer takes over what a report says of the pool. It returns false if the report is from an earlier
// owner.
func (p *pool) answer(r *Report, division int) bool {
	if r.Token < p.token {
		return false
	}
	if r.Token > p.token {
		p.token, p.ownerSince, p.unconfirmed = r.Token, division, nil
	}
	p.answered, p.sequence = division, r.Sequence
	return true
}

// confirmed removes and returns the allotments up to the one that was applied last.
func (p *pool) confirmed() []sentAllotment {
	n := 0
	for n < len(p.unconfirmed) && p.unconfirmed[n].Sequence <= p.sequence {
		n++
	}
	done := p.unconfirmed[:n]
	p.unconfirmed = p.unconfirmed[n:]
	return done
}

// unconfirmedPart returns the largest part that was sent and may still be applied.
func (p *pool) unconfirmedPart(name string) float64 {
	part := 0.0
	for n := range p.unconfirmed {
		part = max(part, p.unconfirmed[n].Parts[name])
	}
	return part
}

// lastSent returns the last part that was sent and not confirmed.
func (p *pool) lastSent(name string) (float64, bool) {
	for n := len(p.unconfirmed) - 1; n >= 0; n-- {
		if part, ok := p.unconfirmed[n].Parts[name]; ok {
			return part, true
		}
	}
	return 0, false
}

// sent records an allotment. Beyond maxUnconfirmed, the two oldest count as one that is as large
// as both and confirmed with the later.
func (p *pool) sent(a Allotment) {
	p.unconfirmed = append(p.unconfirmed, sentAllotment{Allotment: a})
	if len(p.unconfirmed) <= maxUnconfirmed {
		return
	}
	merged := sentAllotment{Allotment{Sequence: p.unconfirmed[1].Sequence, Parts: map[string]float64{}}, true}
	for _, old := range p.unconfirmed[:2] {
		for name, part := range old.Parts {
			merged.Parts[name] = max(merged.Parts[name], part)
		}
	}
	p.unconfirmed = append([]sentAllotment{merged}, p.unconfirmed[2:]...)
}
