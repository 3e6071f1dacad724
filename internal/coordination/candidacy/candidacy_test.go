package candidacy

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	epoch  = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	strong = Capacity{CPU: 800, LinkMbps: 200}
	weak   = Capacity{CPU: 192, LinkMbps: 10}
	losses = Losses{Hosts: 2, DataCentres: 1}
)

const partitions = 8

// owners returns owners of one capacity, spread over data centres.
func owners(count, dataCentres int, capacity Capacity) []Owner {
	var all []Owner
	for n := range count {
		all = append(all, Owner{Member: fmt.Sprint(capacity.CPU, "-", n), DataCentre: fmt.Sprint("dc-", n%dataCentres), Capacity: capacity})
	}
	return all
}

// settle decides with the same view every 100 ms for some time, and returns when the
// candidacy changed first, or -1.
func settle(c *Candidate, view View, from time.Time, lasting time.Duration) time.Duration {
	for at := time.Duration(0); at <= lasting; at += 100 * time.Millisecond {
		view.ReadAt = from.Add(at)
		if c.Decide(view, from.Add(at)) {
			return at
		}
	}
	return -1
}

func TestWhoStands(t *testing.T) {
	full := func(o []Owner) View { return View{Owners: o, Partitions: partitions} }
	for _, c := range []struct {
		name     string
		capacity Capacity
		view     View
		stands   bool
		reason   Reason
	}{
		{"first of a site", weak, View{Unowned: partitions, Partitions: partitions}, true, ReasonUnowned},
		{"alike hosts", weak, full(owners(5, 3, weak)), true, ReasonFewOwners},
		{"alike hosts, one for each partition", weak, full(owners(8, 3, weak)), false, ReasonEnoughOwners},
		{"strong beside weak owners", strong, full(owners(6, 3, weak)), true, ReasonFewOwners},
		{"weak beside strong owners", weak, full(owners(6, 3, strong)), false, ReasonOutclassed},
		{"a data centre of strong owners lost", weak, full(owners(4, 2, strong)), false, ReasonOutclassed},
		{"no more than may be lost", weak, full(owners(2, 2, strong)), true, ReasonFewOwners},
		{"all strong owners in one data centre", weak, full(owners(6, 1, strong)), true, ReasonFewOwners},
		{"strong owners, a partition without one", weak, View{Owners: owners(6, 3, strong), Unowned: 1, Partitions: partitions}, true, ReasonUnowned},
		{"hardly stronger owners", weak, full(owners(6, 3, Capacity{CPU: 300, LinkMbps: 10})), true, ReasonFewOwners},
		{"stronger owners with a slower link", weak, full(owners(6, 3, Capacity{CPU: 800, LinkMbps: 5})), true, ReasonFewOwners},
		{"owners of unknown capacity", weak, full(owners(6, 3, Capacity{})), true, ReasonFewOwners},
		{"unknown capacity", Capacity{}, full(owners(6, 3, strong)), true, ReasonFewOwners},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidate := New("h", c.capacity, losses, epoch)
			settle(candidate, c.view, epoch, 10*time.Second)
			stands, reason := candidate.Stands()
			type outcome struct {
				Stands bool
				Reason Reason
			}
			if diff := cmp.Diff(outcome{c.stands, c.reason}, outcome{stands, reason}); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStrongFirst starts hosts of unlike size together: a strong one must stand before a
// weak one looks for the first time.
func TestStrongFirst(t *testing.T) {
	empty := View{Unowned: partitions, Partitions: partitions}
	first := settle(New("a", strong, losses, epoch), empty, epoch, time.Minute)
	last := settle(New("b", weak, losses, epoch), empty, epoch, time.Minute)
	if first < 0 || last-first < 400*time.Millisecond {
		t.Errorf("strong stands after %s, weak after %s", first, last)
	}
}

// TestStepsInOneAfterTheOther loses all strong owners: the weak hosts must stand soon, but
// not all at the same moment.
func TestStepsInOneAfterTheOther(t *testing.T) {
	const hosts = 40
	moments := map[time.Duration]int{}
	for n := range hosts {
		c := New(fmt.Sprint("host-", n), weak, losses, epoch)
		settle(c, View{Owners: owners(6, 3, strong), Partitions: partitions}, epoch, 5*time.Second)
		lost := epoch.Add(time.Minute)
		after := settle(c, View{Unowned: partitions, Partitions: partitions}, lost, 10*time.Second)
		if after < 0 || after > 4*time.Second {
			t.Errorf("host %d stands after %s; want at most 4s", n, after)
		}
		moments[after]++
	}
	if len(moments) < 10 {
		t.Errorf("%d hosts stood at %d moments; want at least 10", hosts, len(moments))
	}
}

// TestStepsBack lets strong owners return: a weak owner must step back, but not for a
// return that does not last.
func TestStepsBack(t *testing.T) {
	c := New("h", weak, losses, epoch)
	settle(c, View{Unowned: partitions, Partitions: partitions}, epoch, 5*time.Second)
	back := View{Owners: owners(6, 3, strong), Partitions: partitions}
	again := View{Owners: owners(1, 1, strong), Partitions: partitions}
	at := epoch.Add(time.Minute)
	if after := settle(c, back, at, time.Second); after >= 0 {
		t.Errorf("stepped back %s after the strong owners' return", after)
	}
	settle(c, again, at.Add(1100*time.Millisecond), time.Second)
	if after := settle(c, back, at.Add(3*time.Second), 10*time.Second); after < stepBackAfter || after > stepBackAfter+spread {
		t.Errorf("stepped back %s after the lasting return; want between %s and %s", after, stepBackAfter, stepBackAfter+spread)
	}
}

// TestOldListDecidesNothing keeps a list that is no longer read: the candidacy must stay.
func TestOldListDecidesNothing(t *testing.T) {
	c := New("h", weak, losses, epoch)
	settle(c, View{Owners: owners(6, 3, strong), Partitions: partitions}, epoch, 5*time.Second)
	view := View{ReadAt: epoch.Add(5 * time.Second), Unowned: partitions, Partitions: partitions}
	for at := 9 * time.Second; at < 20*time.Second; at += 100 * time.Millisecond {
		if c.Decide(view, epoch.Add(at)) {
			t.Fatalf("the candidacy changed at %s, by a list of 5s", at)
		}
	}
}

// TestRestartOfAll restarts alike hosts while the list still names their former members:
// they must stand as soon as these have expired. A host that knows of stronger ones waits.
func TestRestartOfAll(t *testing.T) {
	const expiry = 1200 * time.Millisecond
	restart := func(former Capacity) time.Duration {
		c := New("h", weak, losses, epoch)
		if after := settle(c, View{Owners: owners(partitions, 3, former), Partitions: partitions}, epoch, expiry); after >= 0 {
			t.Errorf("stood %s after the start, beside former members", after)
		}
		return settle(c, View{Unowned: partitions, Partitions: partitions}, epoch.Add(expiry), 10*time.Second)
	}
	if after := restart(weak); after != 0 {
		t.Errorf("an alike host stands %s after the former members have expired; want at once", after)
	}
	if after := restart(strong); after < 500*time.Millisecond {
		t.Errorf("a weak host stands %s after the strong members have expired; want it to wait for them", after)
	}
}
