package emulator

import (
	"fmt"
	"testing"
	"time"
)

// TestFlood checks the policy against the users' bounds: while one service floods, at least
// 95% of the others' requests, which are within their guarantees, are done in time, and
// at the 99th percentile the most urgent work starts within 1.4 s.
func TestFlood(t *testing.T) {
	for _, shape := range FloodShapes() {
		for seed := range uint64(3) {
			result := RunFlood(shape, false, seed)
			if result.MinServedPercent < 95 || result.UrgentStartP99 > 1400*time.Millisecond {
				t.Errorf("%s, seed %d: %+v", shape.Name, seed, result)
			}
		}
	}
}

func BenchmarkFlood(b *testing.B) {
	for _, shape := range FloodShapes() {
		for _, naive := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/%s", shape.Name, map[bool]string{true: "naive", false: "policy"}[naive]), func(b *testing.B) {
				var result FloodResult
				for b.Loop() {
					result = RunFlood(shape, naive, 1)
				}
				b.ReportMetric(result.MinServedPercent, "kept-least-%")
				b.ReportMetric(result.MeanServedPercent, "kept-%")
				b.ReportMetric(float64(result.UrgentStartP99.Milliseconds()), "urgent-start-p99-ms")
				b.ReportMetric(result.FloodServedPercent, "flood-done-%")
				b.ReportMetric(float64(result.Late), "late")
			})
		}
	}
}
