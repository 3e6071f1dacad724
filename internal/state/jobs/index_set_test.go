package jobs

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// TestIndexSet compares a set of spans with a plain one.
func TestIndexSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s indexSet
		plain := map[int]struct{}{}
		index := rapid.IntRange(0, 40)
		for range rapid.IntRange(0, 60).Draw(t, "additions") {
			added := index.Draw(t, "index")
			_, known := plain[added]
			if s.add(added) == known {
				t.Fatalf("%d is new: %t; want %t", added, known, !known)
			}
			plain[added] = struct{}{}
		}
		bounds := span{index.Draw(t, "first"), index.Draw(t, "end")}
		var got []int
		for p := range s.within(bounds) {
			for n := p.first; n < p.end; n++ {
				got = append(got, n)
			}
		}
		want := slices.DeleteFunc(slices.Sorted(maps.Keys(plain)), func(n int) bool { return n < bounds.first || n >= bounds.end })
		if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("indexes within %v (-want +got):\n%s", bounds, diff)
		}
		if s.size != len(plain) || s.count(bounds) != len(want) {
			t.Fatalf("size %d and %d within %v; want %d and %d", s.size, s.count(bounds), bounds, len(plain), len(want))
		}
		for n := range 42 {
			next := n
			for ; ; next++ {
				if _, ok := plain[next]; !ok {
					break
				}
			}
			if _, ok := plain[n]; s.has(n) != ok || s.next(n) != next {
				t.Fatalf("has(%d) is %t and next %d; want %t and %d", n, s.has(n), s.next(n), ok, next)
			}
		}
	})
}
