package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

const listInterval = 500 * time.Millisecond

// site is a pool with one serving image on each host and best-effort images that come and go.
type site struct {
	model *Model
	rand  *rand.Rand
	now   time.Time
	hosts int
	// effects are the true effects of the best-effort images; level is the ratio of a host without
	// any, at a time since the epoch.
	effects map[string]float64
	level   func(host int, since time.Duration) float64
	// speed is the speed of an image on a host, with the ratio last listed there.
	speed func(host int, image string, since time.Duration, ratio float64) float64
	noise float64

	last    []float64
	changes []Change
}

func newSite(seed uint64, hosts int) *site {
	return &site{
		model: New(), rand: rand.New(rand.NewPCG(seed, 1)), now: epoch, hosts: hosts, last: make([]float64, hosts), noise: 0.1,
		level: func(int, time.Duration) float64 { return 0.4 },
		speed: switching(1),
	}
}

// switching returns speeds that change at random between 0 and 1 every 2 s.
func switching(seed uint64) func(int, string, time.Duration, float64) float64 {
	return func(host int, image string, since time.Duration, _ float64) float64 {
		r := rand.New(rand.NewPCG(seed+uint64(host)*31+uint64(image[0]), uint64(since/(2*time.Second))))
		return float64(r.IntN(2))
	}
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(listInterval) {
		since := s.now.Sub(epoch)
		for host := range s.hosts {
			ratio := s.level(host, since)
			var beside []Beside
			for image, effect := range s.effects {
				if speed := s.speed(host, image, since, s.last[host]); speed > 0 {
					ratio += effect * speed
					beside = append(beside, Beside{image, speed})
				}
			}
			ratio *= 1 + s.noise*s.rand.NormFloat64()
			s.last[host] = ratio
			s.model.Observe(Sample{
				Host: worker.ID(fmt.Sprintf("h%03d", host)), At: s.now.Add(time.Duration(host) * time.Millisecond),
				Serving: "serve", Ratio: ratio, Beside: beside,
			})
		}
		s.changes = append(s.changes, s.model.Update(s.now)...)
	}
}

// seeds runs a scenario under several seeds.
func seeds(t *testing.T, scenario func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { scenario(t, seed) })
	}
}

func (s *site) wantFound(t *testing.T, image string) {
	t.Helper()
	if s.model.Effect("serve", image) == 0 {
		t.Errorf("%s is not found; states %+v", image, s.model.States(s.now, 10))
	}
}

func (s *site) wantNoneFound(t *testing.T, images ...string) {
	t.Helper()
	for _, c := range s.changes {
		for _, image := range images {
			if c.Found && c.BestEffort == image {
				t.Errorf("%s is blamed: %+v", image, c)
			}
		}
	}
}

// TestPairIsFoundUnderNoise guards against a disturbing image that is lost in rough figures, and
// against its neighbours being blamed for it.
func TestPairIsFoundUnderNoise(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed, 6)
		s.speed = switching(seed)
		s.noise, s.effects = 0.15, map[string]float64{"bad": 0.6, "calm": 0, "dull": 0.02}
		s.run(8 * time.Second)
		s.wantFound(t, "bad")
		s.wantNoneFound(t, "calm", "dull")
	})
}

// TestThrottledPairIsFound guards against a pair that stays unknown since throttling ends each
// meeting of the two after one list.
func TestThrottledPairIsFound(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed, 3)
		s.effects, s.speed = map[string]float64{"bad": 1}, throttled()
		s.run(15 * time.Second)
		if len(s.changes) == 0 || !s.changes[0].Found {
			t.Errorf("changes %+v; want the pair found", s.changes)
		}
	})
}

// throttled returns speeds as throttling sets them.
func throttled() func(int, string, time.Duration, float64) float64 {
	speeds := map[string]float64{}
	return func(host int, image string, since time.Duration, ratio float64) float64 {
		key := fmt.Sprint(host, image)
		speed, ok := speeds[key]
		switch {
		case since < time.Duration(2+host)*time.Second:
			return 0
		case !ok:
			speed = 1
		case ratio >= 1:
			speed = 0
		case ratio >= 0.8:
			speed /= 2
		case ratio <= 0.5:
			speed = min(1, speed+0.2)
		}
		speeds[key] = speed
		return speed
	}
}

// TestNobodyIsBlamed guards against an image that is blamed though it does no harm.
func TestNobodyIsBlamed(t *testing.T) {
	constant := func(ratio float64) func(int, time.Duration) float64 {
		return func(int, time.Duration) float64 { return ratio }
	}
	random := switching(1)
	wave := func(since time.Duration) float64 {
		return 0.3 + 0.7*min(1, max(0, (since%(20*time.Second)-4*time.Second).Seconds()/6))
	}
	waveOnOne := func(host int, since time.Duration) float64 {
		if host == 0 {
			return wave(since)
		}
		return 0.3
	}
	waveOnAll := func(_ int, since time.Duration) float64 { return wave(since) }
	withWave := func(host int, _ string, since time.Duration, _ float64) float64 {
		return truth(host%3 == 0 && since%(20*time.Second) > 5*time.Second)
	}
	phase := func(host int, since time.Duration) float64 {
		return ((since + time.Duration(host)*5*time.Second) % (30 * time.Second)).Seconds()
	}
	for name, c := range map[string]struct {
		hosts int
		noise float64
		level func(int, time.Duration) float64
		// speed is as throttling sets it if it is nil.
		speed func(int, string, time.Duration, float64) float64
	}{
		// Figures before a throttling are high and those before a speed-up low, by chance alone.
		"throttled-by-rough-figures": {6, 0.3, constant(0.65), nil},
		// A single change that coincides with one of the load, however large.
		"few-samples": {
			1, 0.1, func(_ int, since time.Duration) float64 { return 0.3 + 1.2*truth(since >= 3*time.Second) },
			func(_ int, _ string, since time.Duration, _ float64) float64 { return truth(since >= 3*time.Second) },
		},
		"slow-hosts": {
			8, 0.1, func(host int, _ time.Duration) float64 { return 0.3 + 0.6*truth(host%2 == 1) },
			func(host int, image string, since time.Duration, ratio float64) float64 {
				return truth(host%2 == 1) * random(host, image, since, ratio)
			},
		},
		// The image comes while the load rises, and ends when it falls.
		"load-of-one-host":         {1, 0.1, waveOnOne, withWave},
		"load-of-one-of-six-hosts": {6, 0.1, waveOnOne, withWave},
		"load-of-the-image":        {6, 0.1, waveOnAll, withWave},
		"load-of-each-host-in-turn": {
			6, 0.1, func(host int, since time.Duration) float64 {
				return 0.3 + 0.6*max(0, 1-math.Abs(phase(host, since)-14)/6)
			},
			func(host int, _ string, since time.Duration, _ float64) float64 {
				return truth(phase(host, since) > 10 && phase(host, since) < 20)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			seeds(t, func(t *testing.T, seed uint64) {
				s := newSite(seed, c.hosts)
				s.noise, s.level, s.speed, s.effects = c.noise, c.level, c.speed, map[string]float64{"calm": 0}
				if c.speed == nil {
					s.speed = throttled()
				}
				s.run(time.Minute)
				s.wantNoneFound(t, "calm")
			})
		})
	}
}

// truth returns 1 if a condition holds, otherwise 0.
func truth(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// TestChangedBehaviourIsNoticed guards against estimates that outlive the behaviour they describe.
func TestChangedBehaviourIsNoticed(t *testing.T) {
	seeds(t, func(t *testing.T, seed uint64) {
		s := newSite(seed, 6)
		s.speed, s.effects = switching(seed), map[string]float64{"old": 0.6, "new": 0}
		s.run(10 * time.Second)
		s.wantFound(t, "old")
		s.effects = map[string]float64{"old": 0, "new": 0.6}
		s.run(window + confirmations*fitInterval)
		s.wantFound(t, "new")
		if s.model.Effect("serve", "old") != 0 {
			t.Errorf("still blamed: %+v", s.model.States(s.now, 10))
		}
	})
}

// TestPairKeptApartIsForgotten guards against a pair that is never tried again.
func TestPairKeptApartIsForgotten(t *testing.T) {
	s := newSite(1, 6)
	s.effects = map[string]float64{"bad": 0.6}
	s.run(10 * time.Second)
	s.wantFound(t, "bad")
	s.effects, s.changes = nil, nil
	s.run(8 * time.Second)
	if len(s.changes) != 1 || s.changes[0].Reason != reasonForgotten {
		t.Errorf("changes %+v; want one pair forgotten", s.changes)
	}
	if diff := cmp.Diff([]PairState{}, s.model.States(s.now, 10)); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// TestMemoryIsBounded guards against images and hosts that come without end.
func TestMemoryIsBounded(t *testing.T) {
	m, now := New(), epoch
	for n := range 20_000 {
		now = now.Add(time.Millisecond)
		m.Observe(Sample{
			Host: worker.ID(fmt.Sprint(n % 500)), At: now, Serving: fmt.Sprint(n % 97), Ratio: 1,
			Beside: []Beside{{fmt.Sprint(n % 89), 1}, {fmt.Sprint(n % 83), 1}},
		})
		m.Update(now)
	}
	tracks := 0
	for _, g := range m.groups {
		tracks += len(g.tracks)
	}
	if len(m.groups) > maxServing || tracks > maxTracks || tracks != m.tracks || len(m.pairs) > maxServing*maxBeside || m.counters.Dropped == 0 {
		t.Errorf("groups %d, tracks %d counted %d, pairs %d, dropped %d", len(m.groups), tracks, m.tracks, len(m.pairs), m.counters.Dropped)
	}
	if m.Update(now.Add(window + time.Second)); len(m.groups) != 0 || m.tracks != 0 {
		t.Errorf("groups %d, tracks %d without samples; want 0", len(m.groups), m.tracks)
	}
}

// BenchmarkUpdate fits a full window of each size.
func BenchmarkUpdate(b *testing.B) {
	for _, hosts := range []int{10, 100, 250} {
		for _, images := range []int{2, 8} {
			b.Run(fmt.Sprintf("hosts-%d/images-%d", hosts, images), func(b *testing.B) {
				s := newSite(1, hosts)
				s.effects = map[string]float64{}
				for n := range images {
					s.effects[string(rune('a'+n))] = 0.1
				}
				s.run(window)
				b.ReportAllocs()
				for b.Loop() {
					s.model.lastFit = time.Time{}
					s.model.Update(s.now)
				}
			})
		}
	}
}
