package interference

import "math"

// normal returns the normal equations of the effects.
func (f *fit) normal() (gram [][]float64, right []float64) {
	size := len(f.columns)
	gram, right = make([][]float64, size), make([]float64, size)
	for c := range size {
		gram[c] = make([]float64, size)
	}
	for k, row := range f.rows {
		for c := range size {
			weighted := f.weight[k] * row[c+1]
			if weighted == 0 {
				continue
			}
			right[c] += weighted * row[0]
			for d := range size {
				gram[c][d] += weighted * row[d+1]
			}
		}
	}
	return gram, right
}

// noise returns the standard deviation of the figures around the fit.
func (f *fit) noise(effects []float64, freedom int) float64 {
	sum, weights := 0.0, 0.0
	for k, row := range f.rows {
		rest := row[0]
		for c, effect := range effects {
			rest -= effect * row[c+1]
		}
		sum += f.weight[k] * rest * rest
		weights += f.weight[k]
	}
	return max(minNoise, math.Sqrt(sum/weights*float64(len(f.rows))/float64(freedom)))
}

// spread returns the standard error of each effect by how much the hosts disagree on it. What
// coincides on one host doesn't on the others.
func (f *fit) spread(effects []float64, inverse [][]float64) []float64 {
	size := len(effects)
	variance, score := make([]float64, size), make([]float64, size)
	start := 0
	for _, end := range f.tracks {
		clear(score)
		for k := start; k < end; k++ {
			row := f.rows[k]
			rest := row[0]
			for c, effect := range effects {
				rest -= effect * row[c+1]
			}
			for c := range size {
				score[c] += f.weight[k] * rest * row[c+1]
			}
		}
		for c := range size {
			share := 0.0
			for d := range size {
				share += inverse[c][d] * score[d]
			}
			variance[c] += share * share
		}
		start = end
	}
	for c := range size {
		if hosts := float64(f.hosts[c]); hosts > 1 {
			variance[c] *= hosts / (hosts - 1)
		}
		variance[c] = math.Sqrt(variance[c])
	}
	return variance
}

// invert returns the inverse of a symmetric positive definite matrix, which it overwrites.
func invert(m [][]float64) [][]float64 {
	size := len(m)
	inverse := make([][]float64, size)
	for n := range size {
		inverse[n] = make([]float64, size)
		inverse[n][n] = 1
	}
	for n := range size {
		pivot := m[n][n]
		for c := range size {
			m[n][c] /= pivot
			inverse[n][c] /= pivot
		}
		for r := range size {
			factor := m[r][n]
			if r == n || factor == 0 {
				continue
			}
			for c := range size {
				m[r][c] -= factor * m[n][c]
				inverse[r][c] -= factor * inverse[n][c]
			}
		}
	}
	return inverse
}
