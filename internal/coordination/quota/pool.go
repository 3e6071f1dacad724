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
	unconfirmed   []sentAllotment
	organisations map[string]*organisation
	// floor is the part of organisations that are not in the map.
	floor float64
}

// organisation is how an organisation uses a pool, by the last report.
type organisation struct {
	Use
	// risenAt is when the use last rose, or the pool last had all that it wants.
	risenAt time.Time
	// listedAt is when a report last listed the organisation.
	listedAt time.Time
}

// sentAllotment is an allotment that was sent; merged if it stands for several.
type sentAllotment struct {
	Allotment
	merged bool
}

// apply takes over a report. It returns false if the report is from an earlier owner.
func (p *pool) apply(r *Report, division int, floor float64, now time.Time) bool {
	if r.Token < p.token {
		return false
	}
	if r.Token > p.token {
		p.token, p.ownerSince, p.unconfirmed, p.organisations = r.Token, division, nil, map[string]*organisation{}
	}
	p.floor = floor
	p.answered, p.sequence = division, r.Sequence
	for name, use := range r.Organisations {
		p.organisation(name, now).update(use, now)
	}
	p.confirm(r.Sequence, r.Organisations, now)
	for name, o := range p.organisations {
		if _, ok := r.Organisations[name]; ok {
			continue
		}
		if now.Sub(o.listedAt) < listRetention {
			continue
		}
		o.Use = Use{Part: o.Part}
		if o.Part == floor {
			delete(p.organisations, name)
		}
	}
	return true
}

// confirm drops the allotments up to the one that was applied last. Their parts hold for the
// organisations that are not listed; of earlier ones it is not known whether they were applied.
func (p *pool) confirm(sequence int64, listed map[string]Use, now time.Time) {
	for len(p.unconfirmed) > 0 && p.unconfirmed[0].Sequence <= sequence {
		a := p.unconfirmed[0]
		p.unconfirmed = p.unconfirmed[1:]
		for name, part := range a.Parts {
			if _, ok := listed[name]; ok {
				continue
			}
			if o := p.organisation(name, now); a.Sequence == sequence && !a.merged {
				o.Part = part
			} else {
				o.Part = max(o.Part, part)
			}
		}
	}
}

func (p *pool) organisation(name string, now time.Time) *organisation {
	o, ok := p.organisations[name]
	if !ok {
		o = &organisation{Use: Use{Part: p.floor}, risenAt: now}
		p.organisations[name] = o
	}
	return o
}

func (o *organisation) update(use Use, now time.Time) {
	use.Wanted = max(use.Wanted, use.Used)
	if use.Used > o.Used+tolerance || use.Wanted <= use.Part {
		o.risenAt = now
	}
	o.Use, o.listedAt = use, now
}

// use returns the last reported use of an organisation.
func (p *pool) use(name string, floor float64) Use {
	if o, ok := p.organisations[name]; ok {
		return o.Use
	}
	return Use{Part: floor}
}

// held returns the largest part that the pool may have or use now.
func (p *pool) held(name string, use Use) float64 {
	held := max(use.Part, use.Used)
	for n := range p.unconfirmed {
		held = max(held, p.unconfirmed[n].Parts[name])
	}
	return held
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
