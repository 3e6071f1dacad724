package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeammast/hornbeammast/internal/coordination/admission"
	"github.com/hornbeammast/hornbeammast/internal/coordination/balance"
)

const (
	// floodFactor is how much more than its mean a flooding kind asks.
	floodFactor = 5
	// floodTime is how long each kind floods in its turn.
	floodTime = 8 * time.Second
	// calmTime lies between two floods.
	calmTime = 4 * time.Second
	// load is the part of the slots that all kinds ask for at their mean.
	load = 0.7
	// callerPatience is how long a caller waits.
	callerPatience = 5 * time.Second
)

// Service is one kind of work of a user's shape.
type Service struct {
	Name    string
	Urgency int
	RunTime time.Duration
}

// FloodShape is the fleet and the work of one user.
type FloodShape struct {
	Name     string
	Workers  int
	Slots    int
	Services []Service
}

// FloodShapes are those of the brief.
func FloodShapes() []FloodShape {
	return []FloodShape{
		{Name: "co-operative", Workers: 50, Slots: 8, Services: []Service{
			{"brightness-map", 3, 120 * time.Millisecond},
			{"calibration", 4, 60 * time.Millisecond},
			{"dashboard", 5, 25 * time.Millisecond},
			{"cleaning", 2, 200 * time.Millisecond},
			{"archive-rebuild", 1, 900 * time.Millisecond},
		}},
		{Name: "isikbakim", Workers: 50, Slots: 8, Services: []Service{
			{"booking", 5, 30 * time.Millisecond},
			{"uv-calibration", 4, 80 * time.Millisecond},
			{"dispatch", 3, 60 * time.Millisecond},
			{"parts-quality", 2, 250 * time.Millisecond},
			{"invoicing", 1, 500 * time.Millisecond},
		}},
	}
}

// FloodResult is what one run of a flood gave.
type FloodResult struct {
	// Kept is the least part of its asked work that another kind got done in
	// time while one flooded, in percent.
	Kept float64
	// KeptMean is the mean over all kinds and floods.
	KeptMean float64
	// UrgentStartP99 is when the most urgent work started, at the 99th percentile,
	// over all times when it did not flood itself.
	UrgentStartP99 time.Duration
	// FloodDone is the part of the flooding kinds' work that was done in time.
	FloodDone float64
	// Late counts work that was started and not done by its deadline.
	Late int
}

// admitter is a policy under test.
type admitter interface {
	// admit queues a request or refuses it.
	admit(r *floodRequest, now time.Time) bool
	// finish frees the request's slot and starts what is next.
	finish(r *floodRequest, now time.Time)
}

// floodRequest is one request in the emulation.
type floodRequest struct {
	service  int
	phase    int
	arrived  time.Time
	deadline time.Time
	run      time.Duration
	ticket   *admission.Ticket
}

// flood is one run.
type flood struct {
	clock    *clock
	shape    FloodShape
	random   *rand.Rand
	policy   admitter
	asked    [][]int
	done     [][]int
	urgent   *hdrhistogram.Histogram
	urgentID int
	late     int
}

// RunFlood lets each kind flood in turn under the policy or the naive way,
// which serves first-come, first-served.
func RunFlood(shape FloodShape, naive bool, seed uint64) FloodResult {
	f := &flood{
		clock: newClock(), shape: shape, random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // An experiment.
		urgent: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for n, s := range shape.Services {
		if s.Urgency > shape.Services[f.urgentID].Urgency {
			f.urgentID = n
		}
		f.asked = append(f.asked, make([]int, len(shape.Services)))
		f.done = append(f.done, make([]int, len(shape.Services)))
	}
	if naive {
		f.policy = &firstCome{flood: f, free: shape.Workers * shape.Slots}
	} else {
		f.policy = newQueued(f)
	}
	for n := range shape.Services {
		f.arrivals(n)
	}
	f.clock.runUntil(f.clock.now.Add(f.period() * time.Duration(len(shape.Services))))
	return f.result()
}

func (f *flood) period() time.Duration { return floodTime + calmTime }

// phase tells which kind floods at a time, -1 for none.
func (f *flood) phase(now time.Time) int {
	since := now.Sub(epoch)
	turn := int(since / f.period())
	if since%f.period() < calmTime || turn >= len(f.shape.Services) {
		return -1
	}
	return turn
}

// meanRate is how many requests a second a kind asks for at its mean.
func (f *flood) meanRate(service int) float64 {
	slots := float64(f.shape.Workers*f.shape.Slots) * load / float64(len(f.shape.Services))
	return slots / f.shape.Services[service].RunTime.Seconds()
}

// arrivals draws a Poisson stream whose rate follows the phase.
func (f *flood) arrivals(service int) {
	rate := f.meanRate(service)
	if f.phase(f.clock.now) == service {
		rate *= floodFactor
	}
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.clock.after(gap, func(now time.Time) {
		f.arrive(service, now)
		f.arrivals(service)
	})
}

func (f *flood) arrive(service int, now time.Time) {
	run := time.Duration((0.5 + f.random.Float64()) * float64(f.shape.Services[service].RunTime))
	r := &floodRequest{service: service, phase: f.phase(now), arrived: now, deadline: now.Add(callerPatience), run: run}
	if r.phase >= 0 {
		f.asked[r.phase][service]++
	}
	f.policy.admit(r, now)
}

// start runs a request that has a slot.
func (f *flood) start(r *floodRequest, now time.Time) {
	if r.service == f.urgentID && r.phase != f.urgentID {
		_ = f.urgent.RecordValue(now.Sub(r.arrived).Microseconds())
	}
	f.clock.at(now.Add(r.run), func(now time.Time) {
		switch {
		case now.After(r.deadline):
			f.late++
		case r.phase >= 0:
			f.done[r.phase][r.service]++
		}
		f.policy.finish(r, now)
	})
}

func (f *flood) result() FloodResult {
	result := FloodResult{Kept: 100, UrgentStartP99: time.Duration(f.urgent.ValueAtQuantile(99)) * time.Microsecond, Late: f.late}
	kept, n, flooded, floodAsked := 0.0, 0, 0, 0
	for phase := range f.asked {
		for service := range f.asked[phase] {
			if service == phase {
				flooded += f.done[phase][service]
				floodAsked += f.asked[phase][service]
				continue
			}
			part := 100 * float64(f.done[phase][service]) / float64(max(f.asked[phase][service], 1))
			result.Kept = min(result.Kept, part)
			kept += part
			n++
		}
	}
	result.KeptMean = kept / float64(max(n, 1))
	result.FloodDone = 100 * float64(flooded) / float64(max(floodAsked, 1))
	return result
}

// firstCome is the naive policy: one queue for all, nothing is refused.
type firstCome struct {
	flood *flood
	free  int
	queue []*floodRequest
}

func (p *firstCome) admit(r *floodRequest, now time.Time) bool {
	p.queue = append(p.queue, r)
	p.schedule(now)
	return true
}

func (p *firstCome) schedule(now time.Time) {
	for p.free > 0 && len(p.queue) > 0 {
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.free--
		p.flood.start(r, now)
	}
}

func (p *firstCome) finish(_ *floodRequest, now time.Time) {
	p.free++
	p.schedule(now)
}

// queued is the product's own admission over its own table of hosts.
type queued struct {
	flood *flood
	queue *admission.Queue
	// waiting finds the request of a ticket.
	waiting map[*admission.Ticket]*floodRequest
	granted []*admission.Ticket
}

func newQueued(f *flood) *queued {
	table := balance.NewTable(1)
	views := []balance.HostView{}
	for n := range f.shape.Workers {
		views = append(views, balance.HostView{
			Name: fmt.Sprintf("w%d", n), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1)), //nolint:gosec // Small.
			Pool: "p", Share: f.shape.Slots, InService: true,
		})
	}
	table.Update(views, 1)
	pool, _ := table.Pool("p")
	p := &queued{flood: f, waiting: map[*admission.Ticket]*floodRequest{}}
	p.queue = admission.NewQueue(pool, admission.WithGrants(func(t *admission.Ticket) { p.granted = append(p.granted, t) }))
	rules := map[string]admission.KindRules{}
	for _, s := range f.shape.Services {
		rules[s.Name] = admission.KindRules{Guarantee: 1 / float64(len(f.shape.Services)), Urgency: s.Urgency, RunTime: s.RunTime}
	}
	p.queue.SetRules(rules)
	return p
}

func (p *queued) admit(r *floodRequest, now time.Time) bool {
	w := admission.Work{Kind: p.flood.shape.Services[r.service].Name, Team: "t", Deadline: r.deadline}
	ticket, err := p.queue.Admit(w, 0, now)
	if err != nil {
		return false
	}
	r.ticket = ticket
	p.waiting[ticket] = r
	p.startGranted(now)
	return true
}

func (p *queued) startGranted(now time.Time) {
	granted := slices.Clone(p.granted)
	p.granted = p.granted[:0]
	for _, ticket := range granted {
		r := p.waiting[ticket]
		delete(p.waiting, ticket)
		p.flood.start(r, now)
	}
}

func (p *queued) finish(r *floodRequest, now time.Time) {
	r.ticket.Host().Note(false, now)
	p.queue.Finish(r.ticket, r.run, now)
	p.startGranted(now)
}
