package quota

import (
	"math"
	"slices"
	"time"
)

// Divider divides the quotas during one tenure of the decider. It is not safe for concurrent use.
type Divider struct {
	token    int64
	sequence int64
	division int
	pools    map[string]*pool
	// superseded is set once a pool has seen a later decider.
	superseded bool
}

// New creates the Divider of a tenure with its fencing token.
func New(token int64) *Divider { return &Divider{token: token, pools: map[string]*pool{}} }

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
	names := make([]string, 0, len(d.pools))
	for name := range d.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	s := &share{now: now, floor: floor, raises: complete, pools: make([]member, len(names))}
	for n, name := range names {
		p := d.pools[name]
		s.pools[n] = member{pool: p, answers: p.answered == d.division, mayRise: complete && p.ownerSince <= oldest}
	}
	changes := make([]map[string]float64, len(names))
	for _, organisation := range organisations {
		if !s.load(organisation) {
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
	return d.allotments(names, changes)
}

func (d *Divider) allotments(names []string, changes []map[string]float64) []Allotment {
	var all []Allotment
	for n, parts := range changes {
		if parts == nil {
			continue
		}
		d.sequence++
		p := d.pools[names[n]]
		a := Allotment{Pool: names[n], PoolToken: p.token, Sequence: d.sequence, Parts: parts}
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
	p, ok := d.pools[name]
	if !ok {
		p = &pool{}
	}
	if p.apply(r, d.division, floor, now) {
		d.pools[name] = p
	}
}

// oldestAnswer returns the division in which the pool that has been silent for longest answered
// last. It is not complete if a pool has not answered this decider at all: a former decider may
// have lent it any part.
func (d *Divider) oldestAnswer(configured []string) (division int, complete bool) {
	oldest := math.MaxInt
	for _, name := range configured {
		p, ok := d.pools[name]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, p.answered)
	}
	return oldest, true
}

// Held returns the sum over all pools of what they may have or use of an organisation's quota.
func (d *Divider) Held(organisation string, pools int) float64 {
	sum := 0.0
	for _, p := range d.pools {
		sum += max(p.held(organisation, p.use(organisation, Floor(pools))), Floor(pools))
	}
	return sum
}
