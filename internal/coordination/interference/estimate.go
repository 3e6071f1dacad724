package interference

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minEffect is the least effect of a run at full speed that is acted on, as a ratio to the
	// target of the tail latency.
	minEffect = 0.15
	// clearEffect is the effect below which a found pair is cleared.
	clearEffect = 0.11
	// minErrors is how many times its error an effect must be.
	minErrors = 3.5
	// clearErrors is how many times its error the effect of a found pair must stay, once that error
	// is small.
	clearErrors = 2
	// minClarity is the least variation of the figures with the speeds, as a ratio to their noise.
	// Throttling follows high figures, which alone makes one of about a half.
	minClarity = 0.9
	// minChanges is the least number of changes of a speed from which an effect is told. A single
	// one may coincide with a change of the serving task's load.
	minChanges = 2
	// minChangesAlone is the same if the speeds changed on a single host, whose own load may
	// coincide more often.
	minChangesAlone = 4
	// confirmations is how many fits in a row must find or clear a pair.
	confirmations = 2
	// forgetAfter is how long an estimate is kept without a sample of the two images together.
	forgetAfter = 6 * time.Second
)

// The reasons for which a pair is cleared.
const (
	reasonDisproved = "disproved"
	reasonForgotten = "forgotten"
)

// estimate is what is known of a pair.
type estimate struct {
	effect, err float64
	changes     int
	// estimatedAt is when the effect was last estimated, besideAt when the two were last sampled
	// together, foundAt when the pair was found, zero while it is not.
	estimatedAt, besideAt, foundAt time.Time
	// streak counts the fits in a row that speak for the other state.
	streak int
}

// Change is a pair that was found or cleared.
type Change struct {
	Pair
	// Found is set if the pair was found, otherwise it was cleared for Reason.
	Found  bool
	Reason string
	// Effect is the rise of the ratio of tail latency to target for a run at full speed, Error
	// its standard error.
	Effect, Error float64
	// Changes is the number of changes of speed that it was estimated from.
	Changes int
}

// Update fits the samples, if any came and the last fit is old enough, and returns the pairs that
// were found or cleared.
func (m *Model) Update(now time.Time) []Change {
	if now.Sub(m.lastFit) < fitInterval || (len(m.groups) == 0 && len(m.pairs) == 0) {
		return nil
	}
	m.lastFit = now
	m.expire(now)
	for serving, g := range m.groups {
		for _, r := range newFit(g, now.Sub(m.epoch)).solve(&g.images) {
			m.apply(Pair{serving, r.image}, r, m.epoch.Add(g.besideAt[r.column]), now)
		}
	}
	var changes []Change
	for pair, e := range m.pairs {
		if change, changed := m.judge(pair, e, now); changed {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return comparePairs(a.Pair, b.Pair) })
	return changes
}

// judge forgets an estimate that is too old, and reports whether the pair was found or cleared.
func (m *Model) judge(pair Pair, e *estimate, now time.Time) (Change, bool) {
	if g := m.groups[pair.Serving]; g != nil {
		if n := slices.Index(g.images[:], pair.BestEffort); n >= 0 {
			e.besideAt = m.epoch.Add(g.besideAt[n])
		}
	}
	forgotten := now.Sub(e.besideAt) > forgetAfter
	if forgotten {
		delete(m.pairs, pair)
	}
	change := Change{Pair: pair, Found: !e.foundAt.IsZero() && !forgotten, Effect: e.effect, Error: e.err, Changes: e.changes}
	_, was := m.found[pair]
	switch {
	case change.Found:
		m.found[pair] = e.effect
		if !was {
			m.counters.Found++
		}
	case was:
		delete(m.found, pair)
		m.counters.Cleared++
		change.Reason = reasonDisproved
		if forgotten {
			change.Reason = reasonForgotten
		}
	}
	return change, was != change.Found
}

// apply applies the result of a fit to a pair.
func (m *Model) apply(pair Pair, r result, besideAt, now time.Time) {
	e, ok := m.pairs[pair]
	if !r.hasInformation || r.changes < r.minChanges || now.Sub(besideAt) > forgetAfter {
		return
	}
	if !ok {
		e = &estimate{}
		m.pairs[pair] = e
	}
	e.effect, e.err, e.changes, e.estimatedAt = r.effect, r.err, r.changes, now
	against := r.effect >= max(minEffect, minErrors*r.err) && r.clarity >= minClarity
	if !e.foundAt.IsZero() {
		against = r.effect < clearEffect || (r.err < clearEffect/2 && r.effect < clearErrors*r.err)
	}
	if !against {
		e.streak = 0
		return
	}
	if e.streak++; e.streak < confirmations {
		return
	}
	e.streak = 0
	if e.foundAt.IsZero() {
		e.foundAt = now
	} else {
		e.foundAt = time.Time{}
	}
}

// HasFound reports whether any pair is found.
func (m *Model) HasFound() bool { return len(m.found) > 0 }

// Effect returns by how much a run of the best-effort image at full speed raises the ratio of tail
// latency to target of the serving image; 0 unless the pair is found.
func (m *Model) Effect(serving, bestEffort string) float64 {
	return m.found[Pair{serving, bestEffort}]
}

// FoundFor returns for how long a pair has been found, or 0.
func (m *Model) FoundFor(pair Pair, now time.Time) time.Duration {
	if _, ok := m.found[pair]; !ok {
		return 0
	}
	return now.Sub(m.pairs[pair].foundAt)
}

// PairState is the estimate for a pair as operators see it.
type PairState struct {
	Serving    string  `json:"serving"`
	BestEffort string  `json:"best-effort"`
	Found      bool    `json:"found"`
	Effect     float64 `json:"effect"`
	Error      float64 `json:"error"`
	Changes    int     `json:"changes"`
	// EstimateAge is the age of the estimate, SampleAge that of the last sample of the two together.
	EstimateAge time.Duration `json:"-"`
	SampleAge   time.Duration `json:"-"`
}

// States returns the estimates, found pairs and then the largest effects first, at most limit.
func (m *Model) States(now time.Time, limit int) []PairState {
	all := make([]PairState, 0, len(m.pairs))
	for pair, e := range m.pairs {
		_, found := m.found[pair]
		all = append(all, PairState{
			pair.Serving, pair.BestEffort, found, e.effect, e.err, e.changes, now.Sub(e.estimatedAt), now.Sub(e.besideAt),
		})
	}
	slices.SortFunc(all, func(a, b PairState) int {
		if a.Found != b.Found {
			if a.Found {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Effect, a.Effect), comparePairs(Pair{a.Serving, a.BestEffort}, Pair{b.Serving, b.BestEffort}))
	})
	return all[:min(limit, len(all))]
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.BestEffort, b.BestEffort))
}
