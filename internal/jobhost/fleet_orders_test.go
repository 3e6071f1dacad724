package jobhost

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOrdersPerPlan checks that orders use the rate limit, but leave connections to the
// machine service for its list while many orders are unanswered.
func TestOrdersPerPlan(t *testing.T) {
	got := map[string]int{}
	large := Capacity{OrdersPerSecond: 590, MaxOpenOrders: 147}
	got["large, none open"] = large.ordersPerPlan(0)
	got["large, some open"] = large.ordersPerPlan(100)
	got["large, all open"] = large.ordersPerPlan(147)
	got["large, more open than allowed"] = large.ordersPerPlan(160)
	slow := Capacity{OrdersPerSecond: 2, MaxOpenOrders: 16}
	got["slow service"] = slow.ordersPerPlan(0)
	want := map[string]int{
		"large, none open": 147, "large, some open": 47, "large, all open": 0, "large, more open than allowed": 0, "slow service": 1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("orders after a plan (-want +got):\n%s", diff)
	}
}
