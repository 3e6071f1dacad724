package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestPath carries a request, a patch, a maintenance and a move all the way.
func TestPath(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for _, e := range c.entries {
		id := newID("plain-" + e.name)
		if a := c.request(e, id, true, "run-ms=5"); a.status != http.StatusOK || a.verdict != "ran" || !strings.Contains(a.body, id) {
			t.Fatalf("request at %s: %+v", e.name, a)
		}
	}
	if status, outcome := c.change(c.entries[3], "/config/patch?format=merge-patch&base=0", `{}`); status != http.StatusConflict {
		t.Fatalf("a stale patch got %d %+v", status, outcome)
	}
	if status, outcome := c.change(c.entries[1], "/hosts/w0/drain?then=reboot", ""); status != http.StatusOK {
		t.Fatalf("drain: %d %+v", status, outcome)
	}
	c.eventually("w0 is back from its reboot", func() bool {
		h := c.host(c.entries[2], "w0")
		return h.Phase == "in-service" && h.Since > c.host(c.entries[2], "w1").Since
	})
	if status, outcome := c.change(c.entries[2], "/hosts/w1/move?to=spare", ""); status != http.StatusOK {
		t.Fatalf("move: %d %+v", status, outcome)
	}
	c.eventually("w1 is in the spare pool", func() bool {
		h := c.host(c.entries[0], "w1")
		return h.Phase == "in-service" && h.Pool == "spare"
	})
}

// TestRacingPatches lets operators race at all entry hosts: one wins each version.
func TestRacingPatches(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for version := uint64(1); version <= 5; version++ {
		accepted := make(chan string, len(c.entries))
		var racers sync.WaitGroup
		for _, e := range c.entries {
			racers.Add(1)
			go func() {
				defer racers.Done()
				body := fmt.Sprintf(`{"teams":{"winner":{"quota":%s}}}`, e.name[1:2])
				path := fmt.Sprintf("/config/patch?format=merge-patch&base=%d", version)
				if status, _, _, err := do(http.MethodPost, "http://"+e.operator+path, nil, body); err == nil && status == http.StatusOK {
					accepted <- e.name
				}
			}()
		}
		racers.Wait()
		if len(accepted) != 1 {
			t.Fatalf("version %d: %d patches were accepted", version, len(accepted))
		}
		c.inForce(version+1, c.entries...)
	}
}

// TestKill kills the entry host that runs a non-idempotent request; the
// duplicate must not run again.
func TestKill(t *testing.T) {
	c := newCluster(t)
	c.configure()
	id := newID("killed")
	first := make(chan answer, 1)
	go func() { first <- c.request(c.entries[0], id, false, "run-ms=3000") }()
	c.eventually("the request runs", func() bool { return c.runs(id) == 1 })
	c.entries[0].kill()
	if a := <-first; a.err == nil && a.verdict != "may-have-run" {
		t.Fatalf("the caller of the killed entry host got %+v", a)
	}
	for _, e := range c.entries[1:] {
		if a := c.request(e, id, false, "run-ms=1"); a.verdict != "may-have-run" || a.cause != "duplicate" {
			t.Fatalf("the duplicate at %s got %+v", e.name, a)
		}
	}
	c.launch(c.entries[0])
	c.eventually("the new process serves", func() bool {
		return c.request(c.entries[0], newID("after"), true, "run-ms=1").status == http.StatusOK
	})
	if a := c.request(c.entries[0], id, false, "run-ms=1"); a.verdict != "may-have-run" {
		t.Fatalf("the duplicate at the new process got %+v", a)
	}
	if n := c.runs(id); n != 1 {
		t.Fatalf("the request ran %d times", n)
	}
}

// TestFreeze pauses an entry host until the others have drained all hosts of
// the data centre without it. Requests that wait in its socket reach it when
// it wakes: it must not run them by what it knew.
func TestFreeze(t *testing.T) {
	c := newCluster(t)
	c.configure()
	body := `{"pools":{"maps":{"budget":{"min-available-hosts":3}}}}`
	if status, outcome := c.change(c.entries[0], "/config/patch?format=merge-patch&base=1", body); status != http.StatusOK {
		t.Fatalf("patch: %d %+v", status, outcome)
	}
	c.inForce(2, c.entries...)
	frozen := c.entries[0]
	frozen.signal(syscall.SIGSTOP)
	const waiting = 20
	answers := make(chan answer, waiting)
	ids := []string{}
	for n := range waiting {
		id := newID(fmt.Sprintf("frozen-%d", n))
		ids = append(ids, id)
		go func() { answers <- c.request(frozen, id, true, "run-ms=1") }()
	}
	c.eventually("the frozen entry host is no member", func() bool {
		s, err := c.status(c.entries[2])
		return err == nil && len(s.DataCentres) == 2 && strings.Join(s.DataCentres[0].Members, " ") == "e1"
	})
	for _, name := range []string{"w0", "w1", "w2"} {
		if status, outcome := c.change(c.entries[1], "/hosts/"+name+"/drain", ""); status != http.StatusOK {
			t.Fatalf("drain: %d %+v", status, outcome)
		}
		c.eventually(name+" is drained", func() bool { return c.host(c.entries[1], name).Phase == "drained" })
	}
	frozen.signal(syscall.SIGCONT)
	for range waiting {
		if a := <-answers; a.err == nil && a.verdict != "not-run" {
			t.Errorf("a woken entry host with no host in service answered %+v", a)
		}
	}
	for _, id := range ids {
		if n := c.runs(id); n != 0 {
			t.Errorf("%s ran on a drained host", id)
		}
	}
	if status, outcome := c.change(c.entries[1], "/hosts/w0/return", ""); status != http.StatusOK {
		t.Fatalf("return: %d %+v", status, outcome)
	}
	c.eventually("the woken entry host serves again", func() bool {
		return c.request(frozen, newID("again"), true, "run-ms=1").status == http.StatusOK
	})
}

// TestCutOff cuts a whole data centre off from the platform: it serves on and
// starts no drain.
func TestCutOff(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for _, e := range c.entries[:2] {
		e.link.cut(true)
	}
	c.eventually("the others see the data centre as lost", func() bool {
		s, err := c.status(c.entries[2])
		return err == nil && s.DataCentres[0].Lost
	})
	for _, e := range c.entries[:2] {
		if a := c.request(e, newID("cut"), true, "run-ms=1"); a.status != http.StatusOK {
			t.Fatalf("a cut-off entry host did not serve: %+v", a)
		}
		id := newID("cut-once")
		// The owner of the claim stream may be an entry host that still has the log.
		a := c.request(e, id, false, "run-ms=1")
		if runs := c.runs(id); a.verdict == "ran" && runs != 1 || a.verdict != "ran" && (a.verdict != "not-run" || runs != 0) {
			t.Fatalf("non-idempotent work at a cut-off entry host ran %d times: %+v", runs, a)
		}
	}
	if status, outcome := c.change(c.entries[3], "/hosts/w5/drain", ""); status != http.StatusConflict {
		t.Fatalf("a drain beside a lost data centre got %d %+v", status, outcome)
	}
	for _, e := range c.entries[:2] {
		e.link.cut(false)
	}
	c.eventually("the data centre is back", func() bool {
		s, err := c.status(c.entries[3])
		return err == nil && !s.DataCentres[0].Lost
	})
}

// TestOutage takes the log away and its answers: nothing is done twice and
// nothing is lost.
func TestOutage(t *testing.T) {
	c := newCluster(t)
	c.configure()
	c.standinDo("lose-answers", "3")
	if status, outcome := c.change(c.entries[1], "/config/patch?format=merge-patch&base=1", `{"teams":{"a":{"quota":1}}}`); status != http.StatusOK || outcome.Version != 2 {
		t.Fatalf("a patch whose answer was lost got %d %+v", status, outcome)
	}
	c.standinDo("lose-answers", "0")
	c.standinDo("outage", "on")
	if a := c.request(c.entries[0], newID("down"), true, "run-ms=1"); a.status != http.StatusOK {
		t.Fatalf("idempotent work in an outage: %+v", a)
	}
	c.entries[3].kill()
	c.entries[3].settings = c.writeSettings("e3", "thatta", c.entries[3].link.address(), c.entries[2].peer)
	c.launch(c.entries[3])
	c.eventually("an entry host that starts in the outage serves from its peer", func() bool {
		return c.request(c.entries[3], newID("started"), true, "run-ms=1").status == http.StatusOK
	})
	id := newID("waits")
	waiting := make(chan answer, 1)
	go func() { waiting <- c.request(c.entries[0], id, false, "run-ms=1") }()
	c.standinDo("outage", "off")
	if a := <-waiting; a.status != http.StatusOK && a.verdict != "not-run" {
		t.Fatalf("non-idempotent work across an outage: %+v", a)
	} else if n := c.runs(id); (a.status == http.StatusOK) != (n == 1) || n > 1 {
		t.Fatalf("%+v, and it ran %d times", a, n)
	}
	c.inForce(2, c.entries...)
}

// TestGracefulShutdown ends no request in flight.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t)
	c.configure()
	id := newID("in-flight")
	inFlight := make(chan answer, 1)
	go func() { inFlight <- c.request(c.entries[0], id, true, "run-ms=1500") }()
	c.eventually("the request runs", func() bool { return c.runs(id) == 1 })
	c.entries[0].signal(syscall.SIGTERM)
	c.eventually("new requests are refused", func() bool {
		a := c.request(c.entries[0], newID("late"), true, "run-ms=1")
		return a.err != nil || a.verdict == "not-run"
	})
	if a := <-inFlight; a.status != http.StatusOK || !strings.Contains(a.body, id) {
		t.Fatalf("the request in flight got %+v", a)
	}
}
