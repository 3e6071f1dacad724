// Package handover decides which partition takes the new jobs of a queue. A configuration may
// send a queue to another pool, whose partition has another owner, while entry hosts still use
// different versions; a job that is submitted again must not be taken by both partitions.
//
// The partition that takes a queue's jobs has claimed the queue: all other partitions have
// recorded that they take no more of them. The newest version of the configuration wins.
package handover

import "slices"

// Intake says which pool takes the new jobs of a queue, by which version of the configuration.
type Intake struct {
	Version int64
	Pool    string
	// Former are the partitions that may hold jobs of the queue from before. It is known only
	// in the partition of the pool.
	Former []int
}

// Decision is what a partition does with a new job.
type Decision int

const (
	// Take means that the partition takes the job.
	Take Decision = iota
	// Search means that it takes the job unless a former partition of the queue has it.
	Search
	// Claim means that it must first claim the queue.
	Claim
	// Forward means that the job goes to the pool that takes the queue's jobs now.
	Forward
)

var decisionNames = map[Decision]string{Take: "take", Search: "search", Claim: "claim", Forward: "forward"}

// String returns the name used in logs.
func (d Decision) String() string { return decisionNames[d] }

// Table holds the intakes that one partition knows. It is not safe for concurrent use.
type Table struct {
	self        int
	partitionOf func(pool string) int
	intakes     map[string]Intake
	// claims are the claims that have not ended.
	claims map[string]Intake
}

// NewTable creates the table of a partition.
func NewTable(self int, partitionOf func(pool string) int) *Table {
	return &Table{self: self, partitionOf: partitionOf, intakes: map[string]Intake{}, claims: map[string]Intake{}}
}

// Intake returns what the partition knows of a queue.
func (t *Table) Intake(queue string) (Intake, bool) {
	i, ok := t.intakes[queue]
	return i, ok
}

// Decide returns what to do with a new job that was accepted by a version of the configuration.
// A job without a queue's address is from a time before queues were claimed.
func (t *Table) Decide(queue string, version int64) (Decision, Intake) {
	known, ok := t.intakes[queue]
	switch {
	case queue == "":
		return Take, known
	case !ok:
		return Claim, known
	case t.partitionOf(known.Pool) == t.self && len(known.Former) == 0:
		return Take, known
	case t.partitionOf(known.Pool) == t.self:
		return Search, known
	case version > known.Version:
		return Claim, known
	default:
		return Forward, known
	}
}

// Apply applies a record of the partition. Records of older versions have no effect.
func (t *Table) Apply(queue string, recorded Intake) {
	if known, ok := t.intakes[queue]; !ok || recorded.Version > known.Version {
		t.intakes[queue] = recorded
	}
}

// Release makes way for a claim by another partition. If the partition knows of a newer version,
// it returns that one, and false.
func (t *Table) Release(queue string, claimed Intake) (Intake, bool) {
	if pending, ok := t.claims[queue]; ok && pending.Version >= claimed.Version {
		return pending, false
	}
	known, ok := t.intakes[queue]
	if ok && (known.Version > claimed.Version || (known.Version == claimed.Version && known.Pool != claimed.Pool)) {
		return Intake{Version: known.Version, Pool: known.Pool}, false
	}
	released := Intake{Version: claimed.Version, Pool: claimed.Pool}
	t.intakes[queue] = released
	return released, true
}

// BeginClaim begins a claim, which takes precedence over those of older versions.
func (t *Table) BeginClaim(queue string, claimed Intake) {
	t.claims[queue] = Intake{Version: claimed.Version, Pool: claimed.Pool}
}

// FinishClaim ends a claim that all other partitions have made way for, of which former hold
// jobs of the queue. It returns false if the queue was released to a newer claim meanwhile.
func (t *Table) FinishClaim(queue string, former []int) (Intake, bool) {
	claimed, ok := t.claims[queue]
	if !ok {
		return Intake{}, false
	}
	delete(t.claims, queue)
	if known, ok := t.intakes[queue]; ok && known.Version > claimed.Version {
		return Intake{}, false
	}
	claimed.Former = former
	t.intakes[queue] = claimed
	return claimed, true
}

// AbandonClaim ends a claim because a newer version is known. The returned intake is to be
// recorded if the bool is set. If the newer version sends the queue to this partition as well,
// that has to be claimed first: an earlier owner of the partition may have failed to.
func (t *Table) AbandonClaim(queue string, newer Intake) (Intake, bool) {
	delete(t.claims, queue)
	if t.partitionOf(newer.Pool) == t.self {
		return newer, false
	}
	if known, ok := t.intakes[queue]; ok && known.Version >= newer.Version {
		return known, false
	}
	t.intakes[queue] = newer
	return newer, true
}

// Emptied removes a former partition that holds no more jobs of a queue. The returned intake is
// to be recorded if the bool is set.
func (t *Table) Emptied(queue string, former int) (Intake, bool) {
	known, ok := t.intakes[queue]
	if !ok || !slices.Contains(known.Former, former) {
		return known, false
	}
	known.Former = slices.DeleteFunc(slices.Clone(known.Former), func(n int) bool { return n == former })
	t.intakes[queue] = known
	return known, true
}
