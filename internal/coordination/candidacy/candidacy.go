// Package candidacy decides whether an entry host stands for the ownership of partitions.
// The log assigns partitions evenly among the members of a group, whatever their size, so
// only the strongest hosts join it and the others wait until they are needed. Each host
// decides for itself, from its own capacity and from the log's list of owners, which
// names the capacity of each owner. It does no I/O and knows the time only from its input.
package candidacy

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// outclassFactor is how many times the processor capacity of a host another one must have
	// to take its place.
	outclassFactor = 2
	// coreStartDelay is how long a host with one core waits before it stands for the first
	// time after its start. Smaller hosts wait longer in proportion, so that the strongest
	// hosts of a site that starts as a whole own the partitions first.
	coreStartDelay = 150 * time.Millisecond
	// settleTime is how long after a start the list may still name members of before, if many
	// hosts have started together; a host without stronger ones then stands without delay.
	settleTime = 2 * time.Second
	// spread is the longest additional wait before any later change. It differs by the host's
	// name, so that hosts change one after the other and see what the others did.
	spread = 2 * time.Second
	// stepBackAfter is how long stronger owners must have sufficed before a host steps back.
	stepBackAfter = 2 * time.Second
	// standbyPartitions is how many partitions each host owns that stands in for stronger ones.
	standbyPartitions = 2
	// maxViewAge is how old the list of owners may be for a decision.
	maxViewAge = 3 * time.Second
	// millisPerCore is the processor capacity of one core.
	millisPerCore = 1000
)

// Capacity is what an entry host can use.
type Capacity struct {
	// CPU is in thousandths of a core.
	CPU int64
	// LinkMbps is the bandwidth of its network link; 0 if it is not known.
	LinkMbps int64
}

// Outclasses reports whether a host with capacity c should own in place of one with o. None
// outclasses a host of unknown capacity.
func (c Capacity) Outclasses(o Capacity) bool {
	return o.CPU > 0 && c.CPU >= outclassFactor*o.CPU && (c.LinkMbps >= o.LinkMbps || c.LinkMbps == 0)
}

// Losses is how much of a site may be lost at once without an effect on the service.
type Losses struct {
	Hosts, DataCentres int
}

// Owner is an entry host that owns at least one partition.
type Owner struct {
	Member     string
	DataCentre string
	Capacity   Capacity
}

// View is the log's list of owners as last read.
type View struct {
	// ReadAt is when the list was read, zero if it has not been read yet.
	ReadAt time.Time
	// Owners are the owners other than the host itself, and the hosts that are known to stand
	// although they own nothing.
	Owners []Owner
	// Unowned is how many partitions have no owner.
	Unowned int
	// Partitions is how many partitions there are.
	Partitions int
}

// Reason is why a host stands or does not.
type Reason string

// The reasons.
const (
	// ReasonStarting means that the host has just started and waits for stronger ones.
	ReasonStarting Reason = "starting"
	// ReasonUnowned means that partitions have no owner.
	ReasonUnowned Reason = "unowned-partitions"
	// ReasonFewOwners means that there are not enough stronger owners, and fewer owners than
	// partitions.
	ReasonFewOwners Reason = "few-owners"
	// ReasonOutclassed means that enough stronger hosts own all partitions.
	ReasonOutclassed Reason = "outclassed"
	// ReasonEnoughOwners means that there are as many owners of this capacity as wanted.
	ReasonEnoughOwners Reason = "enough-owners"
)

// Candidate is the candidacy of one entry host.
type Candidate struct {
	capacity Capacity
	losses   Losses
	wait     time.Duration
	started  time.Time

	stands bool
	// settled is set once settleTime has passed since the start, or the host has stood.
	settled bool
	// standby is set once a stronger owner was seen.
	standby bool
	reason  Reason
	// pending is set while there is a cause for a change, which began at since.
	pending bool
	since   time.Time
}

// New returns the candidacy of a host that starts now and does not stand yet.
func New(name string, capacity Capacity, losses Losses, now time.Time) *Candidate {
	return &Candidate{capacity: capacity, losses: losses, wait: waitOf(name), started: now, reason: ReasonStarting}
}

// waitOf returns the host's share of the spread.
func waitOf(name string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // It never fails.
	return time.Duration(h.Sum32()%1000) * spread / 1000
}

// Stands reports whether the host stands, and why.
func (c *Candidate) Stands() (bool, Reason) { return c.stands, c.reason }

// Settled reports whether the start of the host is over, so that the list may be read less often.
func (c *Candidate) Settled() bool { return c.settled }

// KnowsStronger reports whether a stronger owner was seen, so that the host at most stands in.
func (c *Candidate) KnowsStronger() bool { return c.standby }

// Waits reports whether the host still gives stronger ones the time to come first.
func (c *Candidate) Waits(now time.Time) bool { return now.Before(c.started.Add(c.startDelay())) }

// Decide updates the candidacy and reports whether it has changed.
func (c *Candidate) Decide(view View, now time.Time) bool {
	if c.Waits(now) || (!c.settled && view.ReadAt.Before(c.started.Add(c.startDelay()))) {
		return false
	}
	c.standby = c.standby || c.hasStronger(view)
	if now.Sub(view.ReadAt) > maxViewAge {
		// Without the list, a host that has never stood can't know that others suffice, and
		// its join can't reach the log either.
		return false
	}
	stand, reason := c.assess(view)
	if stand == c.stands {
		c.settled = c.settled || now.Sub(c.started) >= settleTime
		c.pending, c.reason = false, reason
		return false
	}
	if !c.pending {
		c.pending, c.since = true, now
	}
	if (c.settled || c.standby) && now.Sub(c.since) < c.delay(stand) {
		return false
	}
	c.settled, c.pending = true, false
	c.stands, c.reason = stand, reason
	return true
}

// hasStronger reports whether there is any stronger owner.
func (c *Candidate) hasStronger(view View) bool {
	return slices.ContainsFunc(view.Owners, func(o Owner) bool { return o.Capacity.Outclasses(c.capacity) })
}

// startDelay is how long the host waits after its start; a host of unknown capacity counts
// as one core.
func (c *Candidate) startDelay() time.Duration {
	if c.capacity.CPU <= 0 {
		return coreStartDelay
	}
	return coreStartDelay * millisPerCore / time.Duration(c.capacity.CPU)
}

// delay is how long the cause of a change must last.
func (c *Candidate) delay(stand bool) time.Duration {
	if stand {
		return c.startDelay() + c.wait
	}
	return stepBackAfter + c.wait
}

// assess returns what the host should do, regardless of delays.
func (c *Candidate) assess(view View) (bool, Reason) {
	if view.Unowned > 0 {
		return true, ReasonUnowned
	}
	if c.outclassed(view) {
		return false, ReasonOutclassed
	}
	if !c.stands && c.hasEnoughEquals(view) {
		return false, ReasonEnoughOwners
	}
	return true, ReasonFewOwners
}

// hasEnoughEquals reports whether there are as many owners as wanted that the host does not
// outclass, in more data centres than may be lost.
func (c *Candidate) hasEnoughEquals(view View) bool {
	n, dataCentres := countOwners(view, func(o Capacity) bool { return !c.capacity.Outclasses(o) })
	return n >= c.wantedOwners(view) && dataCentres > c.losses.DataCentres
}

// countOwners counts the owners with a capacity, and their data centres.
func countOwners(view View, has func(Capacity) bool) (owners, dataCentres int) {
	seen := map[string]struct{}{}
	for _, o := range view.Owners {
		if has(o.Capacity) {
			owners++
			seen[o.DataCentre] = struct{}{}
		}
	}
	return owners, len(seen)
}

// wantedOwners returns how many owners there should be: one for each partition, but fewer
// if the owners only stand in for stronger hosts, since each of them that joins or leaves
// moves partitions.
func (c *Candidate) wantedOwners(view View) int {
	if c.standby {
		return max(1, view.Partitions/standbyPartitions)
	}
	return view.Partitions
}

// outclassed reports whether there are more stronger owners, in more data centres, than may
// be lost at once.
func (c *Candidate) outclassed(view View) bool {
	stronger, dataCentres := countOwners(view, func(o Capacity) bool { return o.Outclasses(c.capacity) })
	return stronger > c.losses.Hosts && dataCentres > c.losses.DataCentres
}
