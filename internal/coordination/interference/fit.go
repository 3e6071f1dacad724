package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// bucketTime is the length of the intervals for which the level of an image is estimated.
	bucketTime = time.Second
	// sweeps is how often host and time effects are removed in turn; they are not orthogonal.
	sweeps = 4
	// minTrackSamples is the least number of samples from which a level and a trend are told.
	minTrackSamples = 4
	// minFreedom is the least number of samples beyond the parameters.
	minFreedom = 6
	// ridge is added to the information on each effect, so that images that always come together
	// share what can't be told apart.
	ridge = 0.02
	// minNoise is the least noise of the figures, as a ratio to the target. Figures are rounded.
	minNoise = 0.03
	// minInformation is the least information on an effect, in squared speeds beside the other
	// terms, for which it is estimated.
	minInformation = 0.15
	// minChange is the change of a speed that counts as one. Runs are sped up by 0.2 at a time.
	minChange = 0.15
)

// fit is the weighted regression for one serving image.
type fit struct {
	// columns are the columns of the group with any speed.
	columns []int
	// rows holds the ratio and then the speeds of each sample; weight and bucket belong to them.
	rows   [][]float64
	times  []float64
	weight []float64
	bucket []int
	// tracks holds the end of each track in rows.
	tracks  []int
	buckets int
	// changes counts the changes of the speeds, hosts the tracks that have any and exposed the
	// weight of these, by column of the fit.
	changes, hosts []int
	exposed        []float64
}

// result is the estimate for one pair of a fit.
type result struct {
	image string
	// column is the image's column of the group.
	column      int
	effect, err float64
	// changes is the number of changes that the estimate rests on, minChanges how many it takes.
	changes, minChanges int
	// clarity is by how much the figures vary with the speeds, as a ratio to their noise.
	clarity        float64
	hasInformation bool
}

func newFit(g *group, now time.Duration) *fit {
	f := &fit{}
	var used [maxBeside]bool
	for _, t := range g.tracks {
		for k := range t.samples {
			for n := range used {
				used[n] = used[n] || t.samples[k].speed[n] != 0
			}
		}
	}
	for n := range used {
		if used[n] {
			f.columns = append(f.columns, n)
		}
	}
	f.changes, f.hosts, f.exposed = make([]int, len(f.columns)), make([]int, len(f.columns)), make([]float64, len(f.columns))
	f.buckets = int(window/bucketTime) + 1
	for _, host := range slices.Sorted(maps.Keys(g.tracks)) {
		f.add(g.tracks[host], now)
	}
	return f
}

func (f *fit) add(t *track, now time.Duration) {
	if len(t.samples) < minTrackSamples {
		return
	}
	width := len(f.columns) + 1
	changed, total := make([]bool, len(f.columns)), 0.0
	cells := make([]float64, width*len(t.samples))
	for k := range t.samples {
		s := &t.samples[k]
		row := cells[k*width : (k+1)*width]
		row[0] = float64(s.ratio)
		for c, n := range f.columns {
			row[c+1] = float64(s.speed[n])
			if s.changed&(1<<n) != 0 {
				f.changes[c]++
				changed[c] = true
			}
		}
		age := now - s.at
		f.rows = append(f.rows, row)
		f.times = append(f.times, -age.Seconds())
		weight := math.Exp2(-age.Seconds() / halfLife.Seconds())
		total += weight
		f.weight = append(f.weight, weight)
		f.bucket = append(f.bucket, min(f.buckets-1, max(0, int(age/bucketTime))))
	}
	for c := range changed {
		if changed[c] {
			f.exposed[c] += total
			f.hosts[c]++
		}
	}
	f.tracks = append(f.tracks, len(f.rows))
}

// solve returns the estimates, or none if there are too few samples.
func (f *fit) solve(images *[maxBeside]string) []result {
	shared, levels := f.sharedBuckets()
	freedom := len(f.rows) - 2*len(f.tracks) - levels - len(f.columns)
	if len(f.columns) == 0 || freedom < minFreedom {
		return nil
	}
	for range sweeps {
		f.removeTimes(shared)
		f.removeHosts()
	}
	size := len(f.columns)
	gram, right := f.normal()
	information := make([]float64, size)
	for c := range size {
		information[c] = gram[c][c]
		gram[c][c] += ridge
	}
	inverse := invert(gram)
	effects := make([]float64, size)
	for c := range size {
		for d := range size {
			effects[c] += inverse[c][d] * right[d]
		}
	}
	noise := f.noise(effects, freedom)
	spread := f.spread(effects, inverse)
	results := make([]result, size)
	for c, n := range f.columns {
		results[c] = result{
			image: images[n], column: n, effect: effects[c], err: max(noise*math.Sqrt(inverse[c][c]), spread[c]),
			changes: f.changes[c], minChanges: minChanges, hasInformation: information[c] >= minInformation,
		}
		if f.hosts[c] == 1 {
			results[c].minChanges = minChangesAlone
		}
		if f.exposed[c] > 0 {
			results[c].clarity = effects[c] * math.Sqrt(information[c]/f.exposed[c]) / noise
		}
	}
	return results
}

// sharedBuckets returns which intervals have samples of several hosts, and how many have. Only
// there a change of the image's load can be told from one of a host's.
func (f *fit) sharedBuckets() (shared []bool, count int) {
	hosts := make([]int, f.buckets)
	start := 0
	for _, end := range f.tracks {
		last := -1
		for k := start; k < end; k++ {
			if f.bucket[k] != last {
				last = f.bucket[k]
				hosts[last]++
			}
		}
		start = end
	}
	shared = make([]bool, f.buckets)
	for n := range hosts {
		if shared[n] = hosts[n] > 1; shared[n] {
			count++
		}
	}
	return shared, count
}

// removeTimes subtracts the mean of each interval that several hosts share.
func (f *fit) removeTimes(shared []bool) {
	width := len(f.columns) + 1
	sums, weights := make([]float64, f.buckets*width), make([]float64, f.buckets)
	for k, row := range f.rows {
		weights[f.bucket[k]] += f.weight[k]
		for c, value := range row {
			sums[f.bucket[k]*width+c] += f.weight[k] * value
		}
	}
	for k, row := range f.rows {
		if n := f.bucket[k]; shared[n] {
			for c := range row {
				row[c] -= sums[n*width+c] / weights[n]
			}
		}
	}
}

// removeHosts subtracts the level and the trend of each track.
func (f *fit) removeHosts() {
	start := 0
	for _, end := range f.tracks {
		weights, mean, spread := 0.0, 0.0, 0.0
		for k := start; k < end; k++ {
			weights += f.weight[k]
			mean += f.weight[k] * f.times[k]
		}
		mean /= weights
		for k := start; k < end; k++ {
			spread += f.weight[k] * (f.times[k] - mean) * (f.times[k] - mean)
		}
		for c := range len(f.columns) + 1 {
			level, trend := 0.0, 0.0
			for k := start; k < end; k++ {
				level += f.weight[k] * f.rows[k][c]
				trend += f.weight[k] * f.rows[k][c] * (f.times[k] - mean)
			}
			level /= weights
			if spread > 0 {
				trend /= spread
			}
			for k := start; k < end; k++ {
				f.rows[k][c] -= level + trend*(f.times[k]-mean)
			}
		}
		start = end
	}
}
