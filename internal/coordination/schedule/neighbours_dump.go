package schedule

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/interference"
)

// maxPairsDumped bounds the pairs in a dump; found ones and the largest effects come first.
const maxPairsDumped = 32

// InterferenceDump is what a pool knows of tasks that slow each other down.
type InterferenceDump struct {
	Mode interference.Mode `json:"mode"`
	InterferenceCounters
	Pairs []PairDump `json:"pairs"`
}

// PairDump is the estimate for a pair with its ages.
type PairDump struct {
	interference.PairState
	EstimateAge string `json:"estimate-age"`
	SampleAge   string `json:"sample-age"`
}

// InterferenceCounters counts what was sampled, found and done about it.
type InterferenceCounters struct {
	interference.Counters
	// Chosen counts the placements on another host than without the estimates, Moved the runs
	// that were moved.
	Chosen int64 `json:"chosen"`
	Moved  int64 `json:"moved"`
}

// Plus returns the sums.
func (c InterferenceCounters) Plus(o InterferenceCounters) InterferenceCounters {
	return InterferenceCounters{c.Counters.Plus(o.Counters), c.Chosen + o.Chosen, c.Moved + o.Moved}
}

func (n *neighbours) counters() InterferenceCounters {
	return InterferenceCounters{n.model.Counters(), n.chosen, n.moved}
}

func (n *neighbours) dump(now time.Time) *InterferenceDump {
	if n == nil {
		return nil
	}
	d := &InterferenceDump{Mode: interference.Observe, InterferenceCounters: n.counters()}
	if n.avoid {
		d.Mode = interference.Avoid
	}
	for _, s := range n.model.States(now, maxPairsDumped) {
		d.Pairs = append(d.Pairs, PairDump{s, s.EstimateAge.Round(time.Millisecond).String(), s.SampleAge.Round(time.Millisecond).String()})
	}
	return d
}

// InterferenceCounters returns the counters of the tenure; ok is false unless interference is sampled.
func (p *Pool) InterferenceCounters() (counters InterferenceCounters, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.neighbours == nil {
		return counters, false
	}
	return p.neighbours.counters(), true
}
