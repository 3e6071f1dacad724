package site

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

var (
	strong = candidacy.Capacity{CPU: 800, LinkMbps: 200}
	weak   = candidacy.Capacity{CPU: 192, LinkMbps: 10}
)

// weakPerDataCentre is how many weak entry hosts stand beside the strong one of each data
// centre.
const weakPerDataCentre = 3

// newUnlikeFixture starts a site with one strong and some weak entry hosts in each data
// centre, all at once.
func newUnlikeFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	started = time.Now()
	f := &fixture{t: t, site: New(layout, seed, events(t)), queue: map[job.ID]string{}}
	for _, dataCentre := range layout.DataCentres {
		for n := range weakPerDataCentre {
			f.startUnlike(fmt.Sprintf("weak-%s-%d", dataCentre, n), dataCentre)
		}
		f.startUnlike("strong-"+dataCentre, dataCentre)
	}
	if err := f.site.Configure(configuration); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * time.Second)
	return f
}

// nextAddress returns the number of an address that no entry host has had.
func (f *fixture) nextAddress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses++
	return f.addresses
}

// startUnlike starts an entry host whose name begins with its size.
func (f *fixture) startUnlike(name, dataCentre string) {
	f.t.Helper()
	resources := weak
	if strings.HasPrefix(name, "strong") {
		resources = strong
	}
	h, err := f.site.StartHostOf(resources, name, dataCentre, f.nextAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	f.hosts = append(f.hosts, h)
}

// owners returns the names of the entry hosts that own a pool, and whether all pools have one.
func (f *fixture) owners() (names []string, all bool) {
	all = true
	for _, pool := range layout.Pools {
		h := f.site.Owner(pool)
		if h == nil {
			all = false
			continue
		}
		names = append(names, h.Name)
	}
	return names, all
}

// awaitOwners waits until entry hosts of one size own all pools, and returns how long that took.
func (f *fixture) awaitOwners(size string, longest time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < longest {
		names, all := f.owners()
		if all && !slices.ContainsFunc(names, func(name string) bool { return !strings.HasPrefix(name, size) }) {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	names, _ := f.owners()
	f.t.Errorf("after %s the owners are %v; want %s hosts only", longest, names, size)
	return longest
}

// load submits jobs of all kinds for a while.
func (f *fixture) load(lasting time.Duration) {
	f.submit("serving", []job.Step{{
		Tasks: 4, Needs: worker.Resources{CPU: 2000, MemoryMB: 4000}, LongRunning: true, MaxPerHost: 1, MaxUnavailable: 1,
	}}, nil)
	end := time.Now().Add(lasting)
	f.wait.Go(func() {
		for time.Now().Before(end) {
			f.submitRandomJob()
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// kill kills the entry hosts whose names begin with a prefix and returns them.
func (f *fixture) kill(prefix string) []*EntryHost {
	var killed []*EntryHost
	for _, h := range f.hosts {
		if strings.HasPrefix(h.Name, prefix) {
			f.site.KillHost(h)
			killed = append(killed, h)
		}
	}
	f.hosts = slices.DeleteFunc(f.hosts, func(h *EntryHost) bool { return strings.HasPrefix(h.Name, prefix) })
	return killed
}

func TestStrongHostsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnlikeFixture(t, 21)
		f.load(5 * time.Second)
		f.awaitOwners("strong", 100*time.Millisecond)
		f.finish()
	})
}

// TestAllStrongHostsLost kills all strong entry hosts at once: weak ones must step in, and
// step back after the strong ones have returned.
func TestAllStrongHostsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnlikeFixture(t, 22)
		f.load(20 * time.Second)
		time.Sleep(2 * time.Second)
		killed := f.kill("strong")
		t.Logf("without an owner for %s", f.awaitOwners("weak", 6*time.Second))
		time.Sleep(3 * time.Second)
		for _, h := range killed {
			f.startUnlike(h.Name, h.DataCentre)
		}
		f.awaitOwners("strong", 10*time.Second)
		f.finish()
	})
}

// TestDataCentreOfStrongHostsLost isolates the data centre of a strong entry host: strong
// hosts of the others must own its pools.
func TestDataCentreOfStrongHostsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnlikeFixture(t, 23)
		f.load(15 * time.Second)
		time.Sleep(2 * time.Second)
		f.site.IsolateDataCentre("a", true)
		t.Logf("without an owner for %s", f.awaitOwners("strong", 4*time.Second))
		time.Sleep(6 * time.Second)
		f.awaitOwners("strong", 100*time.Millisecond)
		f.site.IsolateDataCentre("a", false)
		f.finish()
	})
}

// TestRollingRestartOfUnlikeHosts restarts all entry hosts one after the other: weak ones
// must not own pools for the sake of one strong host that is away.
func TestRollingRestartOfUnlikeHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnlikeFixture(t, 24)
		f.load(20 * time.Second)
		for _, h := range slices.Clone(f.hosts) {
			f.kill(h.Name)
			time.Sleep(1500 * time.Millisecond)
			f.startUnlike(h.Name, h.DataCentre)
			names, _ := f.owners()
			if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, "weak") }) {
				t.Errorf("after the restart of %s the owners are %v", h.Name, names)
			}
		}
		f.awaitOwners("strong", 5*time.Second)
		f.finish()
	})
}

// TestStrongHostsAdded starts a site of weak entry hosts and adds strong ones in mid-day:
// they must take the pools over.
func TestStrongHostsAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started = time.Now()
		f := &fixture{t: t, site: New(layout, 25, events(t)), queue: map[job.ID]string{}}
		for n := range 6 {
			f.startUnlike(fmt.Sprint("weak-", n), layout.DataCentres[n%len(layout.DataCentres)])
		}
		if err := f.site.Configure(configuration); err != nil {
			t.Fatal(err)
		}
		f.awaitOwners("weak", 4*time.Second)
		f.load(15 * time.Second)
		time.Sleep(2 * time.Second)
		for _, dataCentre := range layout.DataCentres {
			f.startUnlike("strong-"+dataCentre, dataCentre)
		}
		f.awaitOwners("strong", 8*time.Second)
		f.finish()
	})
}
