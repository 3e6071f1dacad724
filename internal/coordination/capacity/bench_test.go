package capacity

import (
	"fmt"
	"testing"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// BenchmarkPlan plans in the middle of a wave, for a fleet of equal pools one of which has
// more demand than it can serve.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ machines, pools int }{{49, 5}, {293, 100}, {880, 302}} {
		b.Run(fmt.Sprintf("machines-%d/pools-%d", size.machines, size.pools), func(b *testing.B) {
			v := View{Now: epoch, Ordered: map[string]Order{}, Pools: []Pool{{Name: "spare", Spare: true}}}
			w := Wave{Wave: machine.Wave{Number: 1, MaxDown: 10}, SeenAt: epoch, Started: map[string]bool{}}
			for n := range size.pools {
				name := fmt.Sprintf("pool-%d", n)
				v.Pools = append(v.Pools, Pool{Name: name, Load: &schedule.Load{Pool: name, Hosts: map[worker.ID]schedule.HostLoad{}}})
			}
			for n := range size.machines {
				pool := &v.Pools[1+n%size.pools]
				m := machine.Machine{
					Name: fmt.Sprintf("m-%d", n), Pool: pool.Name, State: machine.Up, Worker: worker.ID(fmt.Sprintf("w-%d", n)),
					Capacity: worker.Resources{CPU: 10000, MemoryMB: 10000},
				}
				v.Machines = append(v.Machines, m)
				pool.Load.Hosts[m.Worker] = schedule.HostLoad{Runs: 2}
				if n%2 == 0 {
					w.Machines = append(w.Machines, m.Name)
				}
			}
			v.Pools[1].Load.Demand.CPU = 100000
			v.Waves = []Wave{w}
			p := NewPlanner(options)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(v)
			}
		})
	}
}
