package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// BenchmarkDivide divides the quotas of 200 organisations among 302 pools, with demand that changes
// by a tenth in each division and peaks of five times the mean that go round. Each organisation uses
// so many pools. It reports what a pool is sent and sends about organisations in a second.
func BenchmarkDivide(b *testing.B) {
	const organisations, pools, perSecond = 200, 302, 4
	for _, spread := range []int{3, 30, pools} {
		b.Run(fmt.Sprintf("pools-of-each-%d", spread), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var names, owners []string
			for n := range pools {
				names = append(names, fmt.Sprintf("pool-%03d", n))
			}
			for n := range organisations {
				owners = append(owners, fmt.Sprintf("organisation-%03d", n))
			}
			reports := map[string]Report{}
			for _, name := range names {
				reports[name] = Report{Token: 1, FleetToken: 1, Organisations: map[string]Use{}}
			}
			d, now := New(1), time.Unix(1_000_000, 0)
			sent, loads := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(time.Second / perSecond)
				for n, owner := range owners {
					for k := range spread {
						wanted := 0.6 / float64(spread) * (0.9 + 0.2*r.Float64())
						if int(now.Unix()/5)%spread == k {
							wanted *= 5
						}
						organisations := reports[names[(n*7+k)%pools]].Organisations
						part := Floor(pools)
						if use, ok := organisations[owner]; ok {
							part = use.Part
						}
						organisations[owner] = Use{Part: part, Used: min(part, wanted), Wanted: wanted}
					}
				}
				listed := map[string]Report{}
				for name, r := range reports {
					listed[name] = list(r, now)
					loads += loadBytes(listed[name])
				}
				b.StartTimer()
				allotments := d.Divide(now, names, owners, listed)
				b.StopTimer()
				for _, a := range allotments {
					sent += applyAllotment(reports, a)
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(sent)/float64(b.N)*perSecond/pools, "sent-B/s/pool")
			b.ReportMetric(float64(loads)/float64(b.N)*perSecond/pools, "loads-B/s/pool")
		})
	}
}

// applyAllotment applies an allotment to the report of its pool and returns its encoded size.
func applyAllotment(reports map[string]Report, a Allotment) int {
	r := reports[a.Pool]
	m := &wire.AllotRequest{FleetToken: 1, Sequence: a.Sequence, Pool: a.Pool, PoolToken: a.PoolToken}
	r.Sequence = a.Sequence
	for name, part := range a.Parts {
		m.Organisations = append(m.Organisations, &wire.OrganisationPart{Name: name, Part: part})
		use := r.Organisations[name]
		use.Part = part
		r.Organisations[name] = use
	}
	reports[a.Pool] = r
	return proto.Size(m)
}

// list leaves out of a report what pools do not list.
func list(r Report, now time.Time) Report {
	all := r.Organisations
	r.Organisations = map[string]Use{}
	for name, use := range all {
		if use.Wanted > 0 && (use.Urgent() || now.UnixNano()%int64(ListInterval) == 0) {
			r.Organisations[name] = use
		}
	}
	return r
}

func loadBytes(r Report) int {
	m := &wire.PoolLoad{}
	for name, use := range r.Organisations {
		m.Organisations = append(m.Organisations, &wire.OrganisationLoad{Name: name, Part: use.Part, Used: use.Used, Wanted: use.Wanted})
	}
	return proto.Size(m)
}
