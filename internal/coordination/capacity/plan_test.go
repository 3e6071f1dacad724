package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

var options = Options{
	HeadroomFactor: 1, MinHosts: 2, ShrinkAfter: time.Second, MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, OffPeakShare: 0.5,
}

func newLoad(pool string, demandCPU int64) *schedule.Load {
	return &schedule.Load{Pool: pool, Demand: worker.Resources{CPU: demandCPU}, Hosts: map[worker.ID]schedule.HostLoad{}}
}

// newView returns a view of two pools and the spare pool with the given numbers of machines,
// each of 10 cores.
func newView(maps, archive, spares int) View {
	v := View{Now: epoch, Ordered: map[string]Order{}}
	add := func(pool string, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			v.Machines = append(v.Machines, machine.Machine{
				Name: name, Pool: pool, State: machine.Up, Capacity: worker.Resources{CPU: 10000, MemoryMB: 10000}, Worker: worker.ID("w-" + name),
			})
		}
	}
	add("maps", maps)
	add("archive", archive)
	add("spare", spares)
	v.Pools = []Pool{
		{Name: "maps", Load: newLoad("maps", 0)}, {Name: "archive", Load: newLoad("archive", 0)}, {Name: "spare", Spare: true},
	}
	for _, m := range v.Machines {
		for n := range v.Pools {
			if v.Pools[n].Name == m.Pool && v.Pools[n].Load != nil {
				v.Pools[n].Load.Hosts[m.Worker] = schedule.HostLoad{Runs: 1}
			}
		}
	}
	return v
}

// setHostLoad sets the load of a pool's host by the name of its machine.
func (v *View) setHostLoad(pool, name string, load schedule.HostLoad) {
	for n := range v.Pools {
		if v.Pools[n].Name == pool {
			v.Pools[n].Load.Hosts[worker.ID("w-"+name)] = load
		}
	}
}

func summary(actions []Action) []string {
	var lines []string
	for _, a := range actions {
		line := a.Kind.String() + " " + a.Machine
		if a.Kind == Move {
			line += " to " + a.To
		}
		lines = append(lines, line)
	}
	return lines
}

// wantActions checks a plan's actions against their summaries.
func wantActions(t *testing.T, got []Action, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, summary(got)); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
}

func TestDemandGetsSpares(t *testing.T) {
	v := newView(2, 2, 3)
	v.Pools[0].Load.Demand.CPU = 40000
	actions, needs := NewPlanner(options).Plan(v)
	wantActions(t, actions, "move spare-2 to maps", "move spare-1 to maps")
	if needs[0].Need != 4 {
		t.Errorf("need %d; want 4", needs[0].Need)
	}
}

func TestRisingDemandIsForecast(t *testing.T) {
	p := NewPlanner(options)
	v := newView(2, 2, 8)
	v.Pools[0].Load.Demand.CPU = 10000
	p.Plan(v)
	v.Now = v.Now.Add(250 * time.Millisecond)
	v.Pools[0].Load = newLoad("maps", 20000)
	_, needs := p.Plan(v)
	if needs[0].Need <= 2 {
		t.Errorf("need %d for a demand that doubles in a quarter second", needs[0].Need)
	}
}

func TestSurplusMovesWhenVacant(t *testing.T) {
	p := NewPlanner(options)
	v := newView(4, 2, 0)
	v.setHostLoad("maps", "maps-3", schedule.HostLoad{LongRunning: 1, Runs: 1})
	actions, _ := p.Plan(v)
	wantActions(t, actions)
	v.Now = v.Now.Add(options.ShrinkAfter)
	actions, _ = p.Plan(v)
	wantActions(t, actions, "cordon maps-0", "cordon maps-1")
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Use: schedule.UseNone, Vacant: true})
	v.setHostLoad("maps", "maps-1", schedule.HostLoad{Use: schedule.UseNone, Runs: 1})
	actions, _ = p.Plan(v)
	wantActions(t, actions, "move maps-0 to spare")
}

func TestCordonIsLiftedWhenNeeded(t *testing.T) {
	v := newView(3, 2, 0)
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Use: schedule.UseNone, Runs: 1})
	v.Pools[0].Load.Demand.CPU = 30000
	actions, _ := NewPlanner(options).Plan(v)
	wantActions(t, actions, "lift maps-0")
}

func TestPoolOfUnknownLoadIsUnchanged(t *testing.T) {
	v := newView(6, 2, 2)
	v.Pools[0].Load = nil
	v.Now = v.Now.Add(time.Hour)
	actions, _ := NewPlanner(options).Plan(v)
	wantActions(t, actions)
}

func TestWaveKeepsItsBound(t *testing.T) {
	v := newView(2, 2, 4)
	w := Wave{Wave: machine.Wave{Number: 1, Machines: []string{"spare-0", "spare-1", "spare-2", "maps-0"}, Duration: time.Minute, MaxDown: 2}, SeenAt: epoch}
	w.Started = map[string]bool{}
	v.Waves = []Wave{w}
	actions, _ := NewPlanner(options).Plan(v)
	wantActions(t, actions, "maintain spare-0", "maintain spare-1", "retire maps-0")
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Runs: 1, Use: schedule.UseShortTasks})
	v.Ordered["spare-0"] = Order{Action: Action{Kind: Maintain, Machine: "spare-0", Wave: 1}}
	v.Machines[5].State = machine.Maintenance
	v.Waves[0].Started["spare-1"] = true
	actions, _ = NewPlanner(options).Plan(v)
	wantActions(t, actions)
}

func TestBusyHostsAreMaintainedLateInTheWave(t *testing.T) {
	v := newView(2, 2, 0)
	v.Waves = []Wave{{
		Wave: machine.Wave{Number: 1, Machines: []string{"maps-0"}, Duration: time.Minute, MaxDown: 1}, SeenAt: epoch, Started: map[string]bool{},
	}}
	p := NewPlanner(options)
	actions, _ := p.Plan(v)
	wantActions(t, actions, "retire maps-0")
	v.Now = epoch.Add(31 * time.Second)
	actions, _ = p.Plan(v)
	wantActions(t, actions, "cordon maps-0")
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Use: schedule.UseNone, LongRunning: 1, Runs: 1})
	actions, _ = p.Plan(v)
	wantActions(t, actions)
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Use: schedule.UseNone, Vacant: true})
	actions, _ = p.Plan(v)
	wantActions(t, actions, "maintain maps-0")
}

// TestNewWorkerIsTakenDownInUse: a worker that its pool does not know yet may get tasks
// before the order arrives.
func TestNewWorkerIsTakenDownInUse(t *testing.T) {
	v := newView(2, 2, 0)
	v.Waves = []Wave{{
		Wave: machine.Wave{Number: 1, Machines: []string{"maps-0", "maps-1"}, Duration: time.Minute, MaxDown: 1}, SeenAt: epoch, Started: map[string]bool{},
	}}
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{Runs: 1, Use: schedule.UseShortTasks})
	delete(v.Pools[0].Load.Hosts, "w-maps-1")
	p := NewPlanner(options)
	actions, _ := p.Plan(v)
	wantActions(t, actions, "cordon maps-1")
	v.setHostLoad("maps", "maps-1", schedule.HostLoad{Use: schedule.UseNone, Vacant: true})
	actions, _ = p.Plan(v)
	wantActions(t, actions, "maintain maps-1")
}

func TestMachinesOfFormerOwnerWait(t *testing.T) {
	v := newView(2, 2, 1)
	v.Pools[0].Load.Demand.CPU = 40000
	v.Ordered["spare-0"] = Order{Action: Action{Kind: OrderedByFormerOwner, Machine: "spare-0"}}
	actions, _ := NewPlanner(options).Plan(v)
	wantActions(t, actions)
}

// TestFloodsShareTheFleet guards against a pool keeping its machines while another has
// hardly any, when both demand more than the fleet has.
func TestFloodsShareTheFleet(t *testing.T) {
	v := newView(8, 2, 0)
	v.Pools[0].Load.Demand.CPU = 200000
	v.Pools[1].Load.Demand.CPU = 100000
	actions, needs := NewPlanner(options).Plan(v)
	if needs[0].Need != 5 || needs[1].Need != 5 {
		t.Errorf("needs %d and %d of 10 machines; want 5 each", needs[0].Need, needs[1].Need)
	}
	wantActions(t, actions, "cordon maps-0", "cordon maps-1", "cordon maps-2")
}

// TestLongRunningHostsStayInWave guards against releasing a surplus host with long-running
// tasks in a wave: as tasks move one after the other, its tasks would delay those that wait
// to leave a host that is due.
func TestLongRunningHostsStayInWave(t *testing.T) {
	v := newView(6, 2, 2)
	v.Pools[0].Load.SpreadHosts = 3
	for _, name := range []string{"maps-0", "maps-1", "maps-2", "maps-3", "maps-4", "maps-5"} {
		v.setHostLoad("maps", name, schedule.HostLoad{LongRunning: 1, Runs: 1})
	}
	p := NewPlanner(options)
	p.Plan(v)
	v.Now = epoch.Add(longRunningShrinkFactor * options.ShrinkAfter)
	actions, needs := p.Plan(v)
	wantActions(t, actions, "cordon maps-0", "cordon maps-1", "cordon maps-2")
	if needs[0].Need != 3 {
		t.Errorf("need %d; want 3", needs[0].Need)
	}
	v.setHostLoad("maps", "maps-0", schedule.HostLoad{LongRunning: 1, Runs: 1, Use: schedule.UseShortTasks})
	v.Waves = []Wave{{
		Wave: machine.Wave{Number: 1, Machines: []string{"maps-0"}, Duration: time.Hour, MaxDown: 0}, SeenAt: v.Now, Started: map[string]bool{},
	}}
	actions, needs = p.Plan(v)
	wantActions(t, actions)
	if needs[0].Need != 4 {
		t.Errorf("need %d in a wave; want 4, one host for the tasks that leave", needs[0].Need)
	}
}

// TestBarredMachinesServe checks that machines whose last order came from a former owner
// get no orders but still count as serving their pool.
func TestBarredMachinesServe(t *testing.T) {
	v := newView(4, 2, 4)
	v.Pools[0].Load.Demand.CPU = 40000
	for _, name := range []string{"maps-0", "maps-1", "maps-2"} {
		v.Ordered[name] = Order{Action: Action{Kind: OrderedByFormerOwner, Machine: name}, SentAt: epoch}
	}
	actions, needs := NewPlanner(options).Plan(v)
	wantActions(t, actions)
	if needs[0].Serving != 4 {
		t.Errorf("%d machines serve; want 4", needs[0].Serving)
	}
}
