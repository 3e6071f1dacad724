// Package quota divides the quotas of organisations among pools. The one decider lends each pool a
// part of each quota; pools start work only within their parts. The package makes no calls and
// reads no clock.
package quota

import "time"

const (
	// floorShare is the share of a quota that is divided evenly among the pools and never lent.
	floorShare = 0.2
	// RestartFactor is the factor by which use may exceed a part while the part is lowered below
	// use. The sum of the parts is at most 1, so that it is the tolerance of the whole quota.
	RestartFactor = 1.1
	// ListInterval is how often a pool lists an organisation of which nothing new matters.
	ListInterval = time.Second
	// listMargin is the share of its part that such an organisation leaves unused.
	listMargin = 0.1
	// tolerance covers rounding in comparisons of fractions.
	tolerance = 1e-9
)

// Floor returns the part of each quota that a pool always has, for a number of pools.
func Floor(pools int) float64 { return floorShare / float64(max(1, pools)) }

// LargestPart returns the largest part that a pool can get while the others have their floors.
func LargestPart(pools int) float64 { return 1 - Floor(pools)*float64(max(0, pools-1)) }

// Use is how an organisation uses a pool, in fractions of its quota.
type Use struct {
	Part, Used float64
	// Wanted is what runs or could run now.
	Wanted float64
}

// Urgent reports whether the use is to be listed in each report: the pool may soon need a larger part,
// or uses more than it has.
func (u Use) Urgent() bool { return u.Used > u.Part || u.Wanted > (1-listMargin)*u.Part }

// Report is what the load of a pool says.
type Report struct {
	// Token is the fencing token of the pool's owner; 0 from releases without quotas.
	Token int64
	// FleetToken is the highest token of a decider that the pool's owner has seen, Sequence the
	// number of the last allotment that it has applied under this token.
	FleetToken, Sequence int64
	// Organisations lacks those with neither use nor demand if their part is the floor. Once an
	// allotment is applied, it has the others if they are urgent and every ListInterval.
	Organisations map[string]Use
}

// Allotment sets the parts of some organisations in a pool.
type Allotment struct {
	Pool      string
	PoolToken int64
	Sequence  int64
	Parts     map[string]float64
}
