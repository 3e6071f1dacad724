package processtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestRequestPatchRebootAndMove runs the main operations across all processes: requests, a
// stale patch, a drain with reboot, and a move to another pool.
func TestRequestPatchRebootAndMove(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for _, e := range c.entryHosts {
		id := newID("plain-" + e.name)
		if a := c.request(e, id, true, "run-ms=5"); a.status != http.StatusOK || a.verdict != "ran" || !strings.Contains(a.body, id) {
			t.Fatalf("request at %s: %+v", e.name, a)
		}
	}
	if status, outcome := c.change(c.entryHosts[3], "/config/patch?format=merge-patch&base=0", `{}`); status != http.StatusConflict {
		t.Fatalf("a stale patch got status %d: %+v", status, outcome)
	}
	if status, outcome := c.change(c.entryHosts[1], "/hosts/w0/drain?then=reboot", ""); status != http.StatusOK {
		t.Fatalf("drain got status %d: %+v", status, outcome)
	}
	c.eventually("w0 is back from its reboot", func() bool {
		h := c.host(c.entryHosts[2], "w0")
		return h.Phase == "in-service" && h.Since > c.host(c.entryHosts[2], "w1").Since
	})
	if status, outcome := c.change(c.entryHosts[2], "/hosts/w1/move?to=spare", ""); status != http.StatusOK {
		t.Fatalf("move got status %d: %+v", status, outcome)
	}
	c.eventually("w1 is in the spare pool", func() bool {
		h := c.host(c.entryHosts[0], "w1")
		return h.Phase == "in-service" && h.Pool == "spare"
	})
}

// TestRacingPatches guards against two patches accepted for one version. Operators submit
// patches on the same base version to all entry hosts at once.
func TestRacingPatches(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for version := uint64(1); version <= 5; version++ {
		accepted := make(chan string, len(c.entryHosts))
		var racers sync.WaitGroup
		for _, e := range c.entryHosts {
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
		c.awaitVersion(version+1, c.entryHosts...)
	}
}

// TestKill guards against a second run of a non-idempotent request. The entry host that
// runs it is killed, and the caller sends it again to the other entry hosts and to the
// restarted one.
func TestKill(t *testing.T) {
	c := newCluster(t)
	c.configure()
	id := newID("killed")
	first := make(chan answer, 1)
	go func() { first <- c.request(c.entryHosts[0], id, false, "run-ms=3000") }()
	c.eventually("the request runs", func() bool { return c.runs(id) == 1 })
	c.entryHosts[0].kill()
	if a := <-first; a.err == nil && a.verdict != "may-have-run" {
		t.Fatalf("the caller of the killed entry host got %+v", a)
	}
	for _, e := range c.entryHosts[1:] {
		if a := c.request(e, id, false, "run-ms=1"); a.verdict != "may-have-run" || a.cause != "duplicate" {
			t.Fatalf("the duplicate at %s got %+v", e.name, a)
		}
	}
	c.startEntryHost(c.entryHosts[0])
	c.eventually("the new process serves", func() bool {
		return c.request(c.entryHosts[0], newID("after"), true, "run-ms=1").status == http.StatusOK
	})
	if a := c.request(c.entryHosts[0], id, false, "run-ms=1"); a.verdict != "may-have-run" {
		t.Fatalf("the duplicate at the new process got %+v", a)
	}
	if n := c.runs(id); n != 1 {
		t.Fatalf("the request ran %d times", n)
	}
}

// TestFreeze guards against requests that run on drained hosts. An entry host is paused
// while the others drain all hosts of its data centre. When it resumes it reads the
// requests queued in its socket, and must not run them by its outdated state.
func TestFreeze(t *testing.T) {
	c := newCluster(t)
	c.configure()
	body := `{"pools":{"maps":{"budget":{"min-available-hosts":3}}}}`
	if status, outcome := c.change(c.entryHosts[0], "/config/patch?format=merge-patch&base=1", body); status != http.StatusOK {
		t.Fatalf("patch got status %d: %+v", status, outcome)
	}
	c.awaitVersion(2, c.entryHosts...)
	frozen := c.entryHosts[0]
	frozen.pause(t)
	const waiting = 20
	answers := make(chan answer, waiting)
	ids := []string{}
	for n := range waiting {
		id := newID(fmt.Sprintf("frozen-%d", n))
		ids = append(ids, id)
		go func() { answers <- c.request(frozen, id, true, "run-ms=1") }()
	}
	c.eventually("the frozen entry host is no longer a member", func() bool {
		s, err := c.status(c.entryHosts[2])
		return err == nil && len(s.DataCentres) == 2 && strings.Join(s.DataCentres[0].Members, " ") == "e1"
	})
	for _, name := range []string{"w0", "w1", "w2"} {
		if status, outcome := c.change(c.entryHosts[1], "/hosts/"+name+"/drain", ""); status != http.StatusOK {
			t.Fatalf("drain got status %d: %+v", status, outcome)
		}
		c.eventually(name+" is drained", func() bool { return c.host(c.entryHosts[1], name).Phase == "drained" })
	}
	frozen.signal(syscall.SIGCONT)
	for range waiting {
		if a := <-answers; a.err == nil && a.verdict != "not-run" {
			t.Errorf("a resumed entry host with no host in service answered %+v, want not-run", a)
		}
	}
	for _, id := range ids {
		if n := c.runs(id); n != 0 {
			t.Errorf("request %s ran on a drained host", id)
		}
	}
	if status, outcome := c.change(c.entryHosts[1], "/hosts/w0/return", ""); status != http.StatusOK {
		t.Fatalf("return got status %d: %+v", status, outcome)
	}
	c.eventually("the resumed entry host serves again", func() bool {
		return c.request(frozen, newID("again"), true, "run-ms=1").status == http.StatusOK
	})
}

// TestCutOff cuts a whole data centre off from the platform. Its entry hosts must keep
// serving. A drain in the other data centre must be refused, as hosts of a lost data centre
// don't count towards the pool's budget.
func TestCutOff(t *testing.T) {
	c := newCluster(t)
	c.configure()
	for _, e := range c.entryHosts[:2] {
		e.link.setCut(true)
	}
	c.eventually("the others see the data centre as lost", func() bool {
		s, err := c.status(c.entryHosts[2])
		return err == nil && s.DataCentres[0].Lost
	})
	for _, e := range c.entryHosts[:2] {
		if a := c.request(e, newID("cut"), true, "run-ms=1"); a.status != http.StatusOK {
			t.Fatalf("a cut-off entry host did not serve a request: %+v", a)
		}
		id := newID("cut-once")
		// The owner of the claim stream may be an entry host that still reaches the log.
		a := c.request(e, id, false, "run-ms=1")
		if runs := c.runs(id); a.verdict == "ran" && runs != 1 || a.verdict != "ran" && (a.verdict != "not-run" || runs != 0) {
			t.Fatalf("a non-idempotent request at a cut-off entry host ran %d times: %+v", runs, a)
		}
	}
	if status, outcome := c.change(c.entryHosts[3], "/hosts/w5/drain", ""); status != http.StatusConflict {
		t.Fatalf("a drain while a data centre is lost got status %d: %+v", status, outcome)
	}
	for _, e := range c.entryHosts[:2] {
		e.link.setCut(false)
	}
	c.eventually("the data centre is back", func() bool {
		s, err := c.status(c.entryHosts[3])
		return err == nil && !s.DataCentres[0].Lost
	})
}

// TestOutage guards against requests and changes that are lost or take effect twice when
// the log's answers are lost and during an outage of the platform. An entry host that
// starts in the outage must serve with state from its peer.
func TestOutage(t *testing.T) {
	c := newCluster(t)
	c.configure()
	c.injectFault("lose-answers", "3")
	if status, outcome := c.change(c.entryHosts[1], "/config/patch?format=merge-patch&base=1", `{"teams":{"a":{"quota":1}}}`); status != http.StatusOK || outcome.Version != 2 {
		t.Fatalf("a patch whose answer was lost got status %d: %+v", status, outcome)
	}
	c.injectFault("lose-answers", "0")
	c.injectFault("outage", "on")
	if a := c.request(c.entryHosts[0], newID("down"), true, "run-ms=1"); a.status != http.StatusOK {
		t.Fatalf("an idempotent request in an outage got %+v", a)
	}
	c.entryHosts[3].kill()
	c.entryHosts[3].settings = c.writeSettings("e3", "thatta", c.entryHosts[3].link.address(), c.entryHosts[2].peer)
	c.startEntryHost(c.entryHosts[3])
	c.eventually("an entry host that starts in the outage serves with its peer's state", func() bool {
		return c.request(c.entryHosts[3], newID("started"), true, "run-ms=1").status == http.StatusOK
	})
	id := newID("waits")
	waiting := make(chan answer, 1)
	go func() { waiting <- c.request(c.entryHosts[0], id, false, "run-ms=1") }()
	c.injectFault("outage", "off")
	if a := <-waiting; a.status != http.StatusOK && a.verdict != "not-run" {
		t.Fatalf("a non-idempotent request across an outage got %+v", a)
	} else if n := c.runs(id); (a.status == http.StatusOK) != (n == 1) || n > 1 {
		t.Fatalf("a non-idempotent request across an outage got %+v and ran %d times", a, n)
	}
	c.awaitVersion(2, c.entryHosts...)
}

// TestGracefulShutdown guards against a shutdown that cuts off requests in flight.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t)
	c.configure()
	id := newID("in-flight")
	inFlight := make(chan answer, 1)
	go func() { inFlight <- c.request(c.entryHosts[0], id, true, "run-ms=1500") }()
	c.eventually("the request runs", func() bool { return c.runs(id) == 1 })
	c.entryHosts[0].signal(syscall.SIGTERM)
	c.eventually("new requests are refused", func() bool {
		a := c.request(c.entryHosts[0], newID("late"), true, "run-ms=1")
		return a.err != nil || a.verdict == "not-run"
	})
	if a := <-inFlight; a.status != http.StatusOK || !strings.Contains(a.body, id) {
		t.Fatalf("the request in flight got %+v", a)
	}
}
