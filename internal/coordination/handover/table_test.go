package handover

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const testQueue = "a.example/tiles/"

// partitionOf maps the pools p0, p1 and p2 to the partitions with these numbers.
func partitionOf(pool string) int { return strings.Index("012", strings.TrimPrefix(pool, "p")) }

func newTables() []*Table {
	var tables []*Table
	for n := range 3 {
		tables = append(tables, NewTable(n, partitionOf))
	}
	return tables
}

// claim has a partition claim the queue, and returns false if another one has a newer claim.
func claim(tables []*Table, self int, version int64) bool {
	claimed := Intake{Version: version, Pool: "p" + string(rune('0'+self))}
	tables[self].BeginClaim(testQueue, claimed)
	for n, other := range tables {
		if n == self {
			continue
		}
		if newer, ok := other.Release(testQueue, claimed); !ok {
			tables[self].AbandonClaim(testQueue, newer)
			return false
		}
	}
	_, ok := tables[self].FinishClaim(testQueue, nil)
	return ok
}

func decisions(tables []*Table, version int64) []Decision {
	var all []Decision
	for _, t := range tables {
		decision, _ := t.Decide(testQueue, version)
		all = append(all, decision)
	}
	return all
}

func TestNewestVersionTakes(t *testing.T) {
	tables := newTables()
	if diff := cmp.Diff([]Decision{Claim, Claim, Claim}, decisions(tables, 1)); diff != "" {
		t.Errorf("before a claim (-want +got):\n%s", diff)
	}
	for _, step := range []struct {
		self    int
		version int64
		ok      bool
		want    []Decision
	}{
		{0, 1, true, []Decision{Take, Forward, Forward}},
		{1, 2, true, []Decision{Forward, Take, Forward}},
		{0, 1, false, []Decision{Forward, Take, Forward}},
		{0, 3, true, []Decision{Take, Forward, Forward}},
		{2, 2, false, []Decision{Take, Forward, Forward}},
	} {
		if ok := claim(tables, step.self, step.version); ok != step.ok {
			t.Errorf("claim of partition %d by version %d: %v; want %v", step.self, step.version, ok, step.ok)
		}
		if diff := cmp.Diff(step.want, decisions(tables, step.version)); diff != "" {
			t.Errorf("after the claim of partition %d by version %d (-want +got):\n%s", step.self, step.version, diff)
		}
	}
}

// TestOverlappingClaims guards against two partitions that take the same job: claims of different
// versions overlap in any order, and owners whose claims are pending are replaced.
func TestOverlappingClaims(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := newTables()
		type pending struct {
			claimed Intake
			asked   map[int]bool
		}
		claims := map[int]*pending{}
		for range 40 {
			self := rng.IntN(len(tables))
			p := claims[self]
			switch other := rng.IntN(len(tables)); {
			case rng.IntN(20) == 0:
				// A new owner knows the records only.
				clear(tables[self].claims)
				delete(claims, self)
			case p == nil:
				version := int64(1 + 3*rng.IntN(4) + self)
				if decision, _ := tables[self].Decide(testQueue, version); decision == Claim {
					claims[self] = &pending{Intake{Version: version, Pool: "p" + string(rune('0'+self))}, map[int]bool{self: true}}
					tables[self].BeginClaim(testQueue, claims[self].claimed)
				}
			case len(p.asked) == len(tables):
				tables[self].FinishClaim(testQueue, nil)
				delete(claims, self)
			case !p.asked[other]:
				p.asked[other] = true
				if newer, ok := tables[other].Release(testQueue, p.claimed); !ok {
					tables[self].AbandonClaim(testQueue, newer)
					delete(claims, self)
				}
			}
			taking := 0
			for n := range tables {
				if i, ok := tables[n].Intake(testQueue); ok && partitionOf(i.Pool) == n {
					taking++
				}
			}
			if taking > 1 {
				t.Fatalf("seed %d: %d partitions take the queue's jobs", seed, taking)
			}
		}
	}
}

func TestFormerPartitionsAreSearched(t *testing.T) {
	table := NewTable(0, partitionOf)
	table.BeginClaim(testQueue, Intake{Version: 1, Pool: "p0"})
	table.FinishClaim(testQueue, []int{1, 2})
	var got []Decision
	for _, former := range []int{1, 2} {
		decision, _ := table.Decide(testQueue, 1)
		got = append(got, decision)
		if _, changed := table.Emptied(testQueue, former); !changed {
			t.Errorf("partition %d was not among the former ones", former)
		}
	}
	decision, _ := table.Decide(testQueue, 1)
	if diff := cmp.Diff([]Decision{Search, Search, Take}, append(got, decision)); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}
