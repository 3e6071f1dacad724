// Package interference estimates by how much best-effort images raise the tail latency of serving
// images that run beside them. It has no clock and makes no calls.
package interference

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// window is the age up to which samples count.
	window = 8 * time.Second
	// halfLife is the age at which a sample has half its weight.
	halfLife = 3 * time.Second
	// maxSamples bounds the samples of one serving image on one host.
	maxSamples = 20
	// minSampleGap is the least time between two samples of a host. Figures cover half a second,
	// so lists that come faster repeat them.
	minSampleGap = 400 * time.Millisecond
	// fitInterval is the least time between two fits.
	fitInterval = 500 * time.Millisecond
	// maxRatio bounds the ratio of tail latency to target, so that single outliers don't decide.
	maxRatio = 3.0
	// maxServing bounds the serving images, maxBeside the best-effort images beside each, and
	// maxTracks the pairs of host and serving image.
	maxServing, maxBeside, maxTracks = 32, 12, 2048
)

// Sample is what a host has listed of one serving image.
type Sample struct {
	Host    worker.ID
	At      time.Time
	Serving string
	// Runs identifies the set of the image's runs on the host. If it changes, earlier samples
	// don't count.
	Runs int64
	// Ratio is the tail latency divided by its target.
	Ratio float64
	// Beside holds the best-effort images that run on the host.
	Beside []Beside
}

// Beside is a best-effort image on a host with the sum of the speeds of its runs, as means over the
// time that the figures cover; 1 is one run at full speed.
type Beside struct {
	Image string
	Speed float64
}

// Pair is a serving image and a best-effort image.
type Pair struct{ Serving, BestEffort string }

// Model holds the recent samples of a pool and the estimates for each pair. It is not safe for
// concurrent use.
type Model struct {
	groups  map[string]*group
	tracks  int
	pairs   map[Pair]*estimate
	found   map[Pair]float64
	lastFit time.Time
	// epoch is the time of the first sample.
	epoch    time.Time
	counters Counters
}

// Counters counts what a model has seen since it was created.
type Counters struct {
	Samples int64 `json:"samples"`
	// Dropped counts the samples over a bound.
	Dropped int64 `json:"samples-dropped"`
	Found   int64 `json:"found"`
	Cleared int64 `json:"cleared"`
}

// Plus returns the sums.
func (c Counters) Plus(o Counters) Counters {
	return Counters{c.Samples + o.Samples, c.Dropped + o.Dropped, c.Found + o.Found, c.Cleared + o.Cleared}
}

// group holds the samples of one serving image.
type group struct {
	// images are the best-effort images by column; empty for a free column.
	images [maxBeside]string
	// besideAt is when each of them was last sampled, since the model's epoch.
	besideAt [maxBeside]time.Duration
	tracks   map[worker.ID]*track
}

// track holds the samples of one serving image on one host, the oldest first.
type track struct {
	runs    int64
	samples []point
	// turn is the speed of each image when it last began to rise or to fall, direction which of
	// both it did.
	turn      speeds
	direction [maxBeside]int8
}

type speeds [maxBeside]float32

// point is a sample with its time since the model's epoch.
type point struct {
	at    time.Duration
	ratio float32
	speed speeds
	// changed has the bit of each column whose speed began to rise or to fall.
	changed uint16
}

// New creates an empty model.
func New() *Model {
	return &Model{groups: map[string]*group{}, pairs: map[Pair]*estimate{}, found: map[Pair]float64{}}
}

// Counters returns what the model has seen.
func (m *Model) Counters() Counters { return m.counters }

// Observe adds a sample. Samples over the model's bounds are dropped.
func (m *Model) Observe(s Sample) {
	if m.epoch.IsZero() {
		m.epoch = s.At
	}
	g, t := m.track(s)
	if t == nil {
		m.counters.Dropped++
		return
	}
	at := s.At.Sub(m.epoch)
	if t.runs != s.Runs {
		*t = track{runs: s.Runs, samples: t.samples[:0]}
	}
	if n := len(t.samples); n > 0 && at-t.samples[n-1].at < minSampleGap {
		return
	}
	t.add(point{at: at, ratio: float32(min(maxRatio, s.Ratio)), speed: g.speeds(s.Beside, at)})
	m.counters.Samples++
}

// add adds a sample and notes which speeds began to rise or to fall with it. Steps in one direction
// are one change, since a single cause may throttle a run in several steps.
func (t *track) add(s point) {
	if len(t.samples) == 0 {
		t.turn, t.direction = s.speed, [maxBeside]int8{}
	}
	for n, speed := range s.speed {
		direction := int8(0)
		switch {
		case speed-t.turn[n] >= minChange:
			direction = 1
		case t.turn[n]-speed >= minChange:
			direction = -1
		}
		if direction != 0 && direction != t.direction[n] {
			t.direction[n] = direction
			s.changed |= 1 << n
		}
		// The extreme reached so far is what a change back is measured from.
		if direction != 0 || (t.direction[n] > 0 && speed > t.turn[n]) || (t.direction[n] < 0 && speed < t.turn[n]) {
			t.turn[n] = speed
		}
	}
	if len(t.samples) == maxSamples {
		t.samples = t.samples[:copy(t.samples, t.samples[1:])]
	}
	t.samples = append(t.samples, s)
}

// track returns the samples that s belongs to, or nil if a bound is reached.
func (m *Model) track(s Sample) (*group, *track) {
	g, ok := m.groups[s.Serving]
	if !ok {
		if len(m.groups) >= maxServing {
			return nil, nil
		}
		g = &group{tracks: map[worker.ID]*track{}}
		m.groups[s.Serving] = g
	}
	t, ok := g.tracks[s.Host]
	if !ok {
		if m.tracks >= maxTracks {
			return g, nil
		}
		t = &track{runs: s.Runs}
		g.tracks[s.Host] = t
		m.tracks++
	}
	return g, t
}

// speeds returns the speeds by column. Images for which no column is free are left out.
func (g *group) speeds(beside []Beside, now time.Duration) speeds {
	var all speeds
	for _, b := range beside {
		if b.Speed <= 0 {
			continue
		}
		if n := g.column(b.Image, now); n >= 0 {
			all[n] += float32(b.Speed)
			g.besideAt[n] = now
		}
	}
	return all
}

// column returns the column of an image, a free one if it has none yet, or -1.
func (g *group) column(image string, now time.Duration) int {
	free := -1
	for n, other := range g.images {
		if other == image {
			return n
		}
		if other == "" && free < 0 {
			free = n
		}
	}
	if free < 0 {
		free = g.unused(now)
	}
	if free >= 0 {
		g.images[free] = image
	}
	return free
}

// unused drops the samples over their age and returns a column that no other one has, or -1.
func (g *group) unused(now time.Duration) int {
	var used [maxBeside]bool
	for _, t := range g.tracks {
		if t.expire(now); len(t.samples) == 0 {
			continue
		}
		for n := range used {
			used[n] = used[n] || t.turn[n] != 0
		}
		for k := range t.samples {
			for n := range used {
				used[n] = used[n] || t.samples[k].speed[n] != 0
			}
		}
	}
	for n := range used {
		if !used[n] {
			return n
		}
	}
	return -1
}

// expire drops the samples that are too old.
func (t *track) expire(now time.Duration) {
	old := 0
	for old < len(t.samples) && now-t.samples[old].at > window {
		old++
	}
	t.samples = t.samples[:copy(t.samples, t.samples[old:])]
}

// expire drops samples, hosts and images without recent samples.
func (m *Model) expire(now time.Time) {
	for image, g := range m.groups {
		for host, t := range g.tracks {
			if t.expire(now.Sub(m.epoch)); len(t.samples) == 0 {
				delete(g.tracks, host)
				m.tracks--
			}
		}
		if len(g.tracks) == 0 {
			delete(m.groups, image)
		}
	}
}
