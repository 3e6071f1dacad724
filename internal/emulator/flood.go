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
	// floodFactor is the demand on a flooding service or pool as a multiple of its mean.
	floodFactor = 5
	// floodTime is how long each service floods in its turn.
	floodTime = 8 * time.Second
	// floodGap is the time before each flood.
	floodGap = 4 * time.Second
	// offeredLoad is the share of all slots that the services' mean demand takes up.
	offeredLoad = 0.7
	// callerTimeout is how long a caller waits for a request to be done.
	callerTimeout = 5 * time.Second
)

// Service is a kind of work that a user's callers request.
type Service struct {
	Name    string
	Urgency int
	RunTime time.Duration
}

// FloodShape is the fleet and the services of one user.
type FloodShape struct {
	Name     string
	Workers  int
	Slots    int
	Services []Service
}

// FloodShapes returns the shapes of the two users in the project's brief.
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

// FloodResult holds the measurements of one run.
type FloodResult struct {
	// MinServedPercent is the share of a service's requests that were done in time while
	// another service flooded, in percent: the minimum over all services and floods.
	MinServedPercent float64
	// MeanServedPercent is the mean of the same share over all services and floods.
	MeanServedPercent float64
	// UrgentStartP99 is the 99th percentile of the time until the most urgent service's
	// requests started, without those that arrived while it flooded itself.
	UrgentStartP99 time.Duration
	// FloodServedPercent is the share of the flooding services' requests that were done in
	// time, in percent.
	FloodServedPercent float64
	// Late counts the requests that were started but not done by their deadline.
	Late int
}

// admissionPolicy is an admission policy under test.
type admissionPolicy interface {
	// admit queues a request, or refuses it and returns false.
	admit(r *floodRequest, now time.Time) bool
	// finish frees the request's slot and starts queued requests.
	finish(r *floodRequest, now time.Time)
}

// floodRequest is one request of the emulation.
type floodRequest struct {
	// service is the index of the request's service.
	service int
	// floodingService is the index of the service that flooded when the request arrived, or -1.
	floodingService int
	arrived         time.Time
	deadline        time.Time
	run             time.Duration
	ticket          *admission.Ticket
}

// flood is the state of one run.
type flood struct {
	clock  *clock
	shape  FloodShape
	random *rand.Rand
	policy admissionPolicy
	// arrivals and done count the requests that arrived and those that were done in time,
	// by the flooding service and the request's service.
	arrivals [][]int
	done     [][]int
	// urgent records the times until the requests of the most urgent service started;
	// mostUrgent is that service's index.
	urgent     *hdrhistogram.Histogram
	mostUrgent int
	late       int
}

// RunFlood lets each service flood in turn, under the product's admission policy or the
// naive one, which serves requests first come, first served.
func RunFlood(shape FloodShape, naive bool, seed uint64) FloodResult {
	f := &flood{
		clock: newClock(), shape: shape, random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // An experiment.
		urgent: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for n, s := range shape.Services {
		if s.Urgency > shape.Services[f.mostUrgent].Urgency {
			f.mostUrgent = n
		}
		f.arrivals = append(f.arrivals, make([]int, len(shape.Services)))
		f.done = append(f.done, make([]int, len(shape.Services)))
	}
	if naive {
		f.policy = &fifoPolicy{flood: f, free: shape.Workers * shape.Slots}
	} else {
		f.policy = newQueuePolicy(f)
	}
	for n := range shape.Services {
		f.scheduleArrival(n)
	}
	f.clock.runUntil(f.clock.now.Add(f.period() * time.Duration(len(shape.Services))))
	return f.result()
}

func (f *flood) period() time.Duration { return floodTime + floodGap }

// floodingAt returns the index of the service that floods at a time, or -1 for none.
func (f *flood) floodingAt(now time.Time) int {
	since := now.Sub(epoch)
	index := int(since / f.period())
	if since%f.period() < floodGap || index >= len(f.shape.Services) {
		return -1
	}
	return index
}

// meanRate returns a service's mean number of requests per second.
func (f *flood) meanRate(service int) float64 {
	slots := float64(f.shape.Workers*f.shape.Slots) * offeredLoad / float64(len(f.shape.Services))
	return slots / f.shape.Services[service].RunTime.Seconds()
}

// scheduleArrival schedules a service's next request, and so on from there. The requests
// form a Poisson process whose rate is higher while the service floods.
func (f *flood) scheduleArrival(service int) {
	rate := f.meanRate(service)
	if f.floodingAt(f.clock.now) == service {
		rate *= floodFactor
	}
	gap := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.clock.after(gap, func(now time.Time) {
		f.arrive(service, now)
		f.scheduleArrival(service)
	})
}

func (f *flood) arrive(service int, now time.Time) {
	run := time.Duration((0.5 + f.random.Float64()) * float64(f.shape.Services[service].RunTime))
	r := &floodRequest{service: service, floodingService: f.floodingAt(now), arrived: now, deadline: now.Add(callerTimeout), run: run}
	if r.floodingService >= 0 {
		f.arrivals[r.floodingService][service]++
	}
	f.policy.admit(r, now)
}

// start runs a request that was granted a slot.
func (f *flood) start(r *floodRequest, now time.Time) {
	if r.service == f.mostUrgent && r.floodingService != f.mostUrgent {
		_ = f.urgent.RecordValue(now.Sub(r.arrived).Microseconds())
	}
	f.clock.at(now.Add(r.run), func(now time.Time) {
		switch {
		case now.After(r.deadline):
			f.late++
		case r.floodingService >= 0:
			f.done[r.floodingService][r.service]++
		}
		f.policy.finish(r, now)
	})
}

func (f *flood) result() FloodResult {
	result := FloodResult{MinServedPercent: 100, UrgentStartP99: time.Duration(f.urgent.ValueAtQuantile(99)) * time.Microsecond, Late: f.late}
	servedSum, n, flooded, floodArrivals := 0.0, 0, 0, 0
	for flooding := range f.arrivals {
		for service := range f.arrivals[flooding] {
			if service == flooding {
				flooded += f.done[flooding][service]
				floodArrivals += f.arrivals[flooding][service]
				continue
			}
			part := 100 * float64(f.done[flooding][service]) / float64(max(f.arrivals[flooding][service], 1))
			result.MinServedPercent = min(result.MinServedPercent, part)
			servedSum += part
			n++
		}
	}
	result.MeanServedPercent = servedSum / float64(max(n, 1))
	result.FloodServedPercent = 100 * float64(flooded) / float64(max(floodArrivals, 1))
	return result
}

// fifoPolicy is the naive policy: one first-in, first-out queue for all services that
// refuses nothing.
type fifoPolicy struct {
	flood *flood
	free  int
	queue []*floodRequest
}

func (p *fifoPolicy) admit(r *floodRequest, now time.Time) bool {
	p.queue = append(p.queue, r)
	p.schedule(now)
	return true
}

func (p *fifoPolicy) schedule(now time.Time) {
	for p.free > 0 && len(p.queue) > 0 {
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.free--
		p.flood.start(r, now)
	}
}

func (p *fifoPolicy) finish(_ *floodRequest, now time.Time) {
	p.free++
	p.schedule(now)
}

// queuePolicy is the product's admission queue over the product's table of hosts.
type queuePolicy struct {
	flood *flood
	queue *admission.Queue
	// waiting maps the tickets of waiting requests to the requests.
	waiting map[*admission.Ticket]*floodRequest
	// granted are the tickets that were granted a slot and whose request is yet to start.
	granted []*admission.Ticket
}

func newQueuePolicy(f *flood) *queuePolicy {
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
	p := &queuePolicy{flood: f, waiting: map[*admission.Ticket]*floodRequest{}}
	p.queue = admission.NewQueue(pool, admission.WithGrantCallback(func(t *admission.Ticket) { p.granted = append(p.granted, t) }))
	rules := map[string]admission.KindRules{}
	for _, s := range f.shape.Services {
		rules[s.Name] = admission.KindRules{Guarantee: 1 / float64(len(f.shape.Services)), Urgency: s.Urgency, RunTime: s.RunTime}
	}
	p.queue.SetRules(rules)
	return p
}

func (p *queuePolicy) admit(r *floodRequest, now time.Time) bool {
	request := admission.Request{Kind: p.flood.shape.Services[r.service].Name, Team: "t", Deadline: r.deadline}
	ticket, err := p.queue.Admit(request, 0, now)
	if err != nil {
		return false
	}
	r.ticket = ticket
	p.waiting[ticket] = r
	p.startGranted(now)
	return true
}

func (p *queuePolicy) startGranted(now time.Time) {
	granted := slices.Clone(p.granted)
	p.granted = p.granted[:0]
	for _, ticket := range granted {
		r := p.waiting[ticket]
		delete(p.waiting, ticket)
		p.flood.start(r, now)
	}
}

func (p *queuePolicy) finish(r *floodRequest, now time.Time) {
	r.ticket.Host().RecordResult(false, now)
	p.queue.Finish(r.ticket, r.run, now)
	p.startGranted(now)
}
