package demo

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

// document returns a configuration with all workers in two pools; the last worker is spare.
func (d *demo) document() fleet.Document {
	document := fleet.Document{
		Pools: map[string]fleet.Pool{
			"maps":  {Budget: fleet.Budget{MinAvailableHosts: 3}},
			"spare": {Spare: true},
		},
		Kinds: map[string]fleet.Kind{
			"map":     {Pools: []string{"maps", "spare"}, Guarantee: 0.5, Urgency: 1},
			"rebuild": {Pools: []string{"maps"}, Guarantee: 0.2},
			"huge":    {Pools: []string{"maps"}, MemoryGB: 4096},
		},
		Hosts: map[string]fleet.Host{},
	}
	for n, w := range d.workers {
		pool := "maps"
		if n == workers-1 {
			pool = "spare"
		}
		dataCentre := "gilgit"
		if n >= workers/2 {
			dataCentre = "thatta"
		}
		document.Hosts[w.Name()] = fleet.Host{
			DataCentre: dataCentre, Rack: fmt.Sprintf("r%d", n/2), Address: w.Address(), Pool: pool, Slots: slots, MemoryGB: 128,
		}
	}
	return document
}

func (d *demo) createPools() error {
	body, err := json.Marshal(d.document())
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	if err := d.mustAccept(d.entryHosts[0], "/config/patch?format=merge-patch&base=0", body); err != nil {
		return err
	}
	for _, e := range d.entryHosts {
		if err := eventually("version 1 is in force", func() bool { return d.status(e).Version == 1 }); err != nil {
			return err
		}
	}
	return d.awaitServing()
}

// awaitServing waits until all entry hosts run requests.
func (d *demo) awaitServing() error {
	for _, e := range d.entryHosts {
		err := eventually("requests are served", func() bool {
			return d.expectVerdict(e, request{kind: "map", idempotent: true}, verdict.Ran) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) refuseStalePatch() error {
	return d.mustRefuse(d.entryHosts[2], "/config/patch?format=merge-patch&base=0", []byte(`{"teams":{"late":{}}}`))
}

func (d *demo) sendIdempotent() error {
	for _, e := range d.entryHosts {
		for range 20 {
			if err := d.expectVerdict(e, request{kind: "map", idempotent: true}, verdict.Ran); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demo) sendDuplicates() error {
	id := newID("archive")
	errs := make([]error, len(d.entryHosts))
	var senders sync.WaitGroup
	for n, e := range d.entryHosts {
		senders.Add(1)
		go func() {
			defer senders.Done()
			errs[n] = d.expectVerdict(e, request{kind: "rebuild", id: id, runTime: 100 * time.Millisecond}, verdict.Ran)
		}()
	}
	senders.Wait()
	if n := d.runs(id); n != 1 {
		return errors.Newf("the request ran %d times, want once", n)
	}
	return errors.Join(errs...)
}

func (d *demo) refuseOversized() error {
	id := newID("huge")
	if err := d.expectVerdict(d.entryHosts[0], request{kind: "huge", id: id, idempotent: true}, verdict.NotRun); err != nil {
		return err
	}
	if d.runs(id) != 0 {
		return errors.New("the request ran although it fits no host")
	}
	return nil
}

func (d *demo) rebootUnderLoad() error {
	stop := make(chan struct{})
	failures := make(chan error, 1)
	go func() { failures <- d.loadUntil(stop) }()
	err := d.reboot("w0")
	close(stop)
	return errors.CombineErrors(err, <-failures)
}

// reboot drains and reboots a host, and checks that it was rebooted once.
func (d *demo) reboot(name string) error {
	boots := d.platform.Boots(name)
	before := d.host(d.entryHosts[0], name).Since
	if err := d.mustAccept(d.entryHosts[2], "/hosts/"+name+"/drain?then=reboot", nil); err != nil {
		return err
	}
	err := eventually(name+" is back", func() bool {
		h := d.host(d.entryHosts[0], name)
		return h.Phase == "in-service" && h.Since > before
	})
	if n := d.platform.Boots(name) - boots; err == nil && n != 1 {
		err = errors.Newf("the host was rebooted %d times, want once", n)
	}
	return err
}

// loadUntil sends requests one after the other until stop is closed. Each must run and get
// its answer.
func (d *demo) loadUntil(stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		r := request{kind: "map", idempotent: true, runTime: 2 * time.Millisecond}
		if err := d.expectVerdict(d.entryHosts[n%len(d.entryHosts)], r, verdict.Ran); err != nil {
			return err
		}
	}
}

func (d *demo) refuseOverBudgetDrain() error {
	for _, name := range []string{"w0", "w1"} {
		if err := d.mustAccept(d.entryHosts[0], "/hosts/"+name+"/drain", nil); err != nil {
			return err
		}
	}
	if err := d.mustRefuse(d.entryHosts[1], "/hosts/w2/drain", nil); err != nil {
		return err
	}
	for _, name := range []string{"w0", "w1"} {
		if err := d.mustAccept(d.entryHosts[1], "/hosts/"+name+"/return", nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) moveHost() error {
	if err := d.mustAccept(d.entryHosts[0], "/hosts/w1/move?to=spare", nil); err != nil {
		return err
	}
	for _, e := range d.entryHosts {
		err := eventually("w1 is in the spare pool", func() bool {
			h := d.host(e, "w1")
			return h.Pool == "spare" && h.Phase == "in-service"
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) replaceEntryHost() error {
	d.entryHosts[1].Kill()
	third := d.entryHosts[2]
	d.entryHosts = d.entryHosts[:1:1]
	if err := d.startEntryHost("gilgit-1", "gilgit"); err != nil {
		return err
	}
	d.entryHosts = append(d.entryHosts, third)
	return d.awaitServing()
}

func (d *demo) loseAppendAnswer() error {
	version := d.status(d.entryHosts[0]).Version
	d.platform.LoseAnswers(2)
	path := fmt.Sprintf("/config/patch?format=merge-patch&base=%d", version)
	if err := d.mustAccept(d.entryHosts[0], path, []byte(`{"teams":{"demo":{"quota":16}}}`)); err != nil {
		return err
	}
	d.platform.LoseAnswers(0)
	for _, e := range d.entryHosts {
		if err := eventually("the patch is in force once", func() bool { return d.status(e).Version == version+1 }); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) beginOutage() error {
	d.platform.SetOutage(true)
	id := newID("outage")
	for _, e := range d.entryHosts {
		if err := d.expectVerdict(e, request{kind: "map", idempotent: true}, verdict.Ran); err != nil {
			return err
		}
	}
	if err := d.expectVerdict(d.entryHosts[0], request{kind: "rebuild", id: id, timeout: 300 * time.Millisecond}, verdict.NotRun); err != nil {
		return err
	}
	if d.runs(id) != 0 {
		return errors.New("the request ran although its verdict was not-run")
	}
	return nil
}

func (d *demo) endOutage() error {
	d.platform.SetOutage(false)
	id := newID("after")
	err := eventually("a non-idempotent request is served again", func() bool {
		return d.expectVerdict(d.entryHosts[0], request{kind: "rebuild", id: id}, verdict.Ran) == nil
	})
	if n := d.runs(id); err == nil && n != 1 {
		err = errors.Newf("the request ran %d times, want once", n)
	}
	return err
}

func (d *demo) shutDownEntryHost() error {
	const inFlight = 4
	leaving := d.entryHosts[0]
	d.entryHosts = d.entryHosts[1:]
	errs := make(chan error, inFlight)
	id := newID("in-flight")
	for n := range inFlight {
		r := request{kind: "map", id: fmt.Sprintf("%s-%d", id, n), idempotent: true, runTime: 400 * time.Millisecond}
		go func() { errs <- d.expectVerdict(leaving, r, verdict.Ran) }()
	}
	err := eventually("all requests run", func() bool {
		n := 0
		for i := range inFlight {
			n += d.runs(fmt.Sprintf("%s-%d", id, i))
		}
		return n == inFlight
	})
	if err != nil {
		return err
	}
	ctx, cancel := requestContext()
	defer cancel()
	err = leaving.Shutdown(ctx)
	for range inFlight {
		err = errors.CombineErrors(err, <-errs)
	}
	return err
}

func (d *demo) checkSlotLimits() error {
	for _, w := range d.workers {
		if w.MaxRunning() > slots {
			return errors.Newf("%s ran %d requests at once, more than its slots", w.Name(), w.MaxRunning())
		}
	}
	return nil
}
