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

func (d *demo) patch() error {
	body, err := json.Marshal(d.document())
	if err != nil {
		return errors.Wrap(err, "document")
	}
	if err := d.accept(d.entries[0], "/config/patch?format=merge-patch&base=0", body); err != nil {
		return err
	}
	for _, e := range d.entries {
		if err := eventually("version 1 is in force", func() bool { return d.status(e).Version == 1 }); err != nil {
			return err
		}
	}
	return d.serves()
}

// serves waits until all entry hosts have slots to give.
func (d *demo) serves() error {
	for _, e := range d.entries {
		err := eventually("requests are served", func() bool {
			return d.expect(e, request{kind: "map", idempotent: true}, verdict.Ran) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) stalePatch() error {
	return d.refused(d.entries[2], "/config/patch?format=merge-patch&base=0", []byte(`{"teams":{"late":{}}}`))
}

func (d *demo) idempotent() error {
	for _, e := range d.entries {
		for range 20 {
			if err := d.expect(e, request{kind: "map", idempotent: true}, verdict.Ran); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *demo) duplicates() error {
	id := newID("archive")
	errs := make([]error, len(d.entries))
	var senders sync.WaitGroup
	for n, e := range d.entries {
		senders.Add(1)
		go func() {
			defer senders.Done()
			errs[n] = d.expect(e, request{kind: "rebuild", id: id, runTime: 100 * time.Millisecond}, verdict.Ran)
		}()
	}
	senders.Wait()
	if n := d.runs(id); n != 1 {
		return errors.Newf("it ran %d times", n)
	}
	return errors.Join(errs...)
}

func (d *demo) neverFits() error {
	id := newID("huge")
	if err := d.expect(d.entries[0], request{kind: "huge", id: id, idempotent: true}, verdict.NotRun); err != nil {
		return err
	}
	if d.runs(id) != 0 {
		return errors.New("it ran")
	}
	return nil
}

func (d *demo) maintain() error {
	stop := make(chan struct{})
	failures := make(chan error, 1)
	go func() { failures <- d.loadUntil(stop) }()
	err := d.reboot("w0")
	close(stop)
	return errors.CombineErrors(err, <-failures)
}

func (d *demo) reboot(name string) error {
	boots := d.platform.Boots(name)
	before := d.host(d.entries[0], name).Since
	if err := d.accept(d.entries[2], "/hosts/"+name+"/drain?then=reboot", nil); err != nil {
		return err
	}
	err := eventually(name+" is back", func() bool {
		h := d.host(d.entries[0], name)
		return h.Phase == "in-service" && h.Since > before
	})
	if n := d.platform.Boots(name) - boots; err == nil && n != 1 {
		err = errors.Newf("it was rebooted %d times", n)
	}
	return err
}

// loadUntil sends requests one after the other; each must be answered whole.
func (d *demo) loadUntil(stop <-chan struct{}) error {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		default:
		}
		r := request{kind: "map", idempotent: true, runTime: 2 * time.Millisecond}
		if err := d.expect(d.entries[n%len(d.entries)], r, verdict.Ran); err != nil {
			return err
		}
	}
}

func (d *demo) overBudget() error {
	for _, name := range []string{"w0", "w1"} {
		if err := d.accept(d.entries[0], "/hosts/"+name+"/drain", nil); err != nil {
			return err
		}
	}
	if err := d.refused(d.entries[1], "/hosts/w2/drain", nil); err != nil {
		return err
	}
	for _, name := range []string{"w0", "w1"} {
		if err := d.accept(d.entries[1], "/hosts/"+name+"/return", nil); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) move() error {
	if err := d.accept(d.entries[0], "/hosts/w1/move?to=spare", nil); err != nil {
		return err
	}
	for _, e := range d.entries {
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

func (d *demo) replace() error {
	d.entries[1].Kill()
	third := d.entries[2]
	d.entries = d.entries[:1:1]
	if err := d.launch("gilgit-1", "gilgit"); err != nil {
		return err
	}
	d.entries = append(d.entries, third)
	return d.serves()
}

func (d *demo) lostAnswer() error {
	version := d.status(d.entries[0]).Version
	d.platform.LoseAnswers(2)
	path := fmt.Sprintf("/config/patch?format=merge-patch&base=%d", version)
	if err := d.accept(d.entries[0], path, []byte(`{"teams":{"demo":{"quota":16}}}`)); err != nil {
		return err
	}
	d.platform.LoseAnswers(0)
	for _, e := range d.entries {
		if err := eventually("the patch is in force once", func() bool { return d.status(e).Version == version+1 }); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) outage() error {
	d.platform.SetOutage(true)
	id := newID("outage")
	for _, e := range d.entries {
		if err := d.expect(e, request{kind: "map", idempotent: true}, verdict.Ran); err != nil {
			return err
		}
	}
	if err := d.expect(d.entries[0], request{kind: "rebuild", id: id, timeout: 300 * time.Millisecond}, verdict.NotRun); err != nil {
		return err
	}
	if d.runs(id) != 0 {
		return errors.New("it said not-run and ran")
	}
	return nil
}

func (d *demo) afterOutage() error {
	d.platform.SetOutage(false)
	id := newID("after")
	err := eventually("a non-idempotent request is served again", func() bool {
		return d.expect(d.entries[0], request{kind: "rebuild", id: id}, verdict.Ran) == nil
	})
	if n := d.runs(id); err == nil && n != 1 {
		err = errors.Newf("it ran %d times", n)
	}
	return err
}

func (d *demo) shutdown() error {
	const inFlight = 4
	leaving := d.entries[0]
	d.entries = d.entries[1:]
	errs := make(chan error, inFlight)
	id := newID("in-flight")
	for n := range inFlight {
		r := request{kind: "map", id: fmt.Sprintf("%s-%d", id, n), idempotent: true, runTime: 400 * time.Millisecond}
		go func() { errs <- d.expect(leaving, r, verdict.Ran) }()
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
	ctx, cancel := background()
	defer cancel()
	err = leaving.Shutdown(ctx)
	for range inFlight {
		err = errors.CombineErrors(err, <-errs)
	}
	return err
}

func (d *demo) slotsHeld() error {
	for _, w := range d.workers {
		if w.Most() > slots {
			return errors.Newf("%s ran %d at once", w.Name(), w.Most())
		}
	}
	return nil
}
