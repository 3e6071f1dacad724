package quota

import (
	"math"
	"time"
)

// Divider divides the quotas during one tenure of the decider. It is not safe for concurrent use.
type Divider struct {
	token    int64
	sequence int64
	division int
	// pools holds the pools by name, in the order in which they first answered; usages holds for each
	// organisation its use of them in the same order, which makes divisions cheap.
	pools  []*pool
	names  []string
	index  map[string]int
	usages map[string][]usage
	// superseded is set once a pool has seen a later decider.
	superseded bool
}

// New creates the Divider of a tenure with its fencing token.
func New(token int64) *Divider {
	return &Divider{token: token, index: map[string]int{}, usages: map[string][]usage{}}
}

// Superseded reports whether a pool has seen a later decider. Nothing is sent from then on.
func (d *Divider) Superseded() bool { return d.superseded }

// Divide takes the reports of one round and returns the allotments to send. Configured are the
// pools that are not spare, organisations those with a quota. Pools without an answer are missing
// from reports and keep what they have.
func (d *Divider) Divide(now time.Time, configured, organisations []string, reports map[string]Report) []Allotment {
	d.division++
	floor := Floor(len(configured))
	for name, r := range reports {
		d.apply(name, &r, floor, now)
	}
	if d.superseded {
		return nil
	}
	oldest, complete := d.oldestAnswer(configured)
	s := &share{now: now, floor: floor, raises: complete, pools: make([]member, len(d.pools))}
	for n, p := range d.pools {
		s.pools[n] = member{pool: p, answers: p.answered == d.division, mayRise: complete && p.ownerSince <= oldest}
	}
	changes := make([]map[string]float64, len(d.pools))
	for _, organisation := range organisations {
		if !s.load(organisation, d.usage(organisation)) {
			continue
		}
		s.divide()
		for n := range s.pools {
			if m := &s.pools[n]; m.changed {
				if changes[n] == nil {
					changes[n] = map[string]float64{}
				}
				changes[n][organisation] = m.next
			}
		}
	}
	return d.allotments(changes)
}

func (d *Divider) allotments(changes []map[string]float64) []Allotment {
	var all []Allotment
	for n, parts := range changes {
		if parts == nil {
			continue
		}
		d.sequence++
		p := d.pools[n]
		a := Allotment{Pool: d.names[n], PoolToken: p.token, Sequence: d.sequence, Parts: parts}
		p.sent(a)
		all = append(all, a)
	}
	return all
}

func (d *Divider) apply(name string, r *Report, floor float64, now time.Time) {
	if r.Token == 0 || r.FleetToken < d.token {
		// The pool's owner does not know of quotas, or has not seen this decider yet.
		return
	}
	if r.FleetToken > d.token {
		d.superseded = true
		return
	}
	n, ok := d.index[name]
	if !ok {
		n = len(d.pools)
		d.index[name], d.pools, d.names = n, append(d.pools, &pool{}), append(d.names, name)
	}
	p := d.pools[n]
	if !p.answer(r, d.division) {
		return
	}
	at := func(organisation string) *usage { return d.usage(organisation)[n].under(p.token, floor, now) }
	for organisation, use := range r.Organisations {
		at(organisation).update(use, now)
	}
	// The parts hold for the organisations that are not listed; of earlier allotments it is not known
	// whether they were applied.
	for _, a := range p.confirmed() {
		for organisation, part := range a.Parts {
			if _, listed := r.Organisations[organisation]; listed {
				continue
			}
			if u := at(organisation); a.Sequence == p.sequence && !a.merged {
				u.Part = part
			} else {
				u.Part = max(u.Part, part)
			}
		}
	}
}

// usage returns the use of all pools by an organisation.
func (d *Divider) usage(organisation string) []usage {
	all := d.usages[organisation]
	if len(all) < len(d.pools) {
		all = append(all, make([]usage, len(d.pools)-len(all))...)
		d.usages[organisation] = all
	}
	return all
}

// oldestAnswer returns the division in which the pool that has been silent for longest answered
// last. It is not complete if a pool has not answered this decider at all: a former decider may
// have lent it any part.
func (d *Divider) oldestAnswer(configured []string) (division int, complete bool) {
	oldest := math.MaxInt
	for _, name := range configured {
		n, ok := d.index[name]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, d.pools[n].answered)
	}
	return oldest, true
}
