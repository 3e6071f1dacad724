package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick = 50 * time.Millisecond
	// versionDelay bounds how late a pool learns of a quota, graceTime how long an earlier quota counts.
	versionDelay, graceTime = 2 * time.Second, 3 * time.Second
	organisationName        = "blue"
)

// site simulates pools that run tasks of one organisation, the deciders, and the messages between them.
type site struct {
	*testing.T
	*rand.Rand
	now      time.Time
	names    []string
	pools    map[string]*sitePool
	deciders []*decider
	inFlight []flight
	quotas   []version
	taskSize float64
	// lossRate is the share of calls that get lost, each way.
	lossRate float64
	starts   int
}

type version struct {
	quota float64
	at    time.Time
}

type sitePool struct {
	token               int64
	part, quota, demand float64
	fleet, sequence     int64
	ends                []time.Time
	// down is set while no owner answers.
	down bool
}

type decider struct {
	*Divider
	// cutOff are pools that the decider does not reach.
	cutOff map[string]bool
}

type flight struct {
	Allotment
	fleet int64
	at    time.Time
}

func newSite(t *testing.T, seed uint64, taskSize float64, names ...string) *site {
	t.Helper()
	s := &site{T: t, Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), names: names, pools: map[string]*sitePool{}, taskSize: taskSize}
	for _, name := range names {
		s.pools[name] = &sitePool{token: 1, part: Floor(len(names)), quota: 1}
	}
	s.quotas = []version{{1, s.now}}
	s.deciders = []*decider{{New(1), map[string]bool{}}}
	return s
}

func (s *site) used(p *sitePool) float64 { return float64(len(p.ends)) * s.taskSize / p.quota }

// replaceOwner gives a pool an owner that inherits its runs.
func (s *site) replaceOwner(name string) {
	p := s.pools[name]
	p.token++
	p.part, p.fleet, p.sequence, p.down = Floor(len(s.names)), 0, 0, false
}

// load returns the report of a pool to a decider.
func (s *site) load(d *decider, name string) (Report, bool) {
	p := s.pools[name]
	if p.down || d.cutOff[name] || s.Float64() < s.lossRate {
		return Report{}, false
	}
	p.see(d.token)
	r := Report{Token: p.token, FleetToken: p.fleet, Sequence: p.sequence}
	use := Use{Part: p.part, Used: s.used(p), Wanted: max(s.used(p), p.demand/p.quota)}
	if use.Urgent() || p.sequence == 0 || (use.Wanted > 0 && s.now.UnixNano()%int64(ListInterval) == 0) {
		r.Organisations = map[string]Use{organisationName: use}
	}
	return r, s.Float64() >= s.lossRate
}

func (p *sitePool) see(fleet int64) {
	if fleet > p.fleet {
		p.fleet, p.sequence = fleet, 0
	}
}

func (s *site) divide(d *decider) {
	reports := map[string]Report{}
	for _, name := range s.names {
		if r, ok := s.load(d, name); ok {
			reports[name] = r
		}
	}
	for _, a := range d.Divide(s.now, s.names, []string{organisationName}, reports) {
		if s.Float64() >= s.lossRate && !d.cutOff[a.Pool] {
			s.inFlight = append(s.inFlight, flight{a, d.token, s.now.Add(s.delay(600 * time.Millisecond))})
		}
	}
}

func (s *site) delay(most time.Duration) time.Duration {
	if s.lossRate == 0 {
		return 0
	}
	return time.Duration(s.Int64N(int64(most)))
}

func (s *site) deliver(f flight) {
	p := s.pools[f.Pool]
	if p.down || f.PoolToken != p.token || f.fleet < p.fleet {
		return
	}
	p.see(f.fleet)
	if f.Sequence > p.sequence {
		p.sequence, p.part = f.Sequence, f.Parts[organisationName]
	}
}

// setQuota publishes a quota, which each pool learns within versionDelay.
func (s *site) setQuota(quota float64) { s.quotas = append(s.quotas, version{quota, s.now}) }

func (s *site) learn(p *sitePool) {
	newest := s.quotas[len(s.quotas)-1]
	if p.quota == newest.quota || s.now.Sub(newest.at) < s.delay(versionDelay) {
		return
	}
	if newest.quota < p.quota && len(s.names) > 1 {
		p.part = 0
	}
	p.quota = newest.quota
}

// step lets one tick pass and checks what must hold at each time.
func (s *site) step() {
	s.Helper()
	s.now = s.now.Add(tick)
	if s.now.UnixNano()%int64(250*time.Millisecond) == 0 {
		for _, d := range s.deciders {
			s.divide(d)
		}
	}
	waiting := s.inFlight
	s.inFlight = nil
	for _, f := range waiting {
		if f.at.After(s.now) {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		s.deliver(f)
	}
	for _, name := range s.names {
		s.run(s.pools[name])
	}
	s.check()
}

// run ends and starts tasks, as far as the demand and the part allow.
func (s *site) run(p *sitePool) {
	s.Helper()
	s.learn(p)
	var going []time.Time
	for _, end := range p.ends {
		if end.After(s.now) {
			going = append(going, end)
		}
	}
	p.ends = going
	for !p.down && float64(len(p.ends)+1)*s.taskSize <= min(p.demand, p.part*p.quota)+tolerance {
		p.ends = append(p.ends, s.now.Add(time.Second+time.Duration(s.Int64N(int64(3*time.Second)))))
		s.starts++
		if total, most := s.total(), s.highestQuota()*RestartFactor+s.taskSize; total > most+tolerance {
			s.Fatalf("at %s a start brought the use to %.3f, above %.3f", s.now, total, most)
		}
	}
}

func (s *site) total() float64 {
	n := 0
	for _, p := range s.pools {
		n += len(p.ends)
	}
	return float64(n) * s.taskSize
}

// highestQuota returns the highest quota that may be in force.
func (s *site) highestQuota() float64 {
	highest := 0.0
	for n, v := range s.quotas {
		if n == len(s.quotas)-1 || s.now.Sub(s.quotas[n+1].at) <= graceTime {
			highest = max(highest, v.quota)
		}
	}
	return highest
}

// check guards against parts that are lent twice.
func (s *site) check() {
	s.Helper()
	floor, parts, held := Floor(len(s.names)), 0.0, 0.0
	for _, p := range s.pools {
		parts += max(p.part, floor)
		held += max(p.part, s.used(p), floor)
	}
	lowered := len(s.quotas) > 1
	if parts > 1+1e-6 || (held > 1+1e-6 && !lowered) {
		s.Fatalf("at %s the pools have parts of %.6f and hold %.6f of the quota", s.now, parts, held)
	}
}

func (s *site) pass(d time.Duration) {
	s.Helper()
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}
