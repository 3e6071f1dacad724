package keyedlog

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSplitFitsTheLimits guards against appends that the log refuses for their size, and records
// that are left out or reordered.
func TestSplitFitsTheLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		l := Limits{Record: 200, Call: 200 + rng.IntN(500)}
		records := make([]Record, rng.IntN(30))
		for n := range records {
			records[n] = Record{Key: "key", Value: make([]byte, rng.IntN(l.Record-8)), Offset: int64(n)}
		}
		var joined []Record
		for _, call := range l.Split(records) {
			size := 0
			for n := range call {
				size += call[n].Size()
			}
			if size > l.Call {
				t.Fatalf("an append of %d bytes; the limit is %d", size, l.Call)
			}
			joined = append(joined, call...)
		}
		if diff := cmp.Diff(records, joined); diff != "" && len(records) > 0 {
			t.Fatalf("records (-want +got):\n%s", diff)
		}
	}
}
