package slot

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/randomised"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

func TestMain(m *testing.M) { os.Exit(randomised.Main(m, "")) }

var entryHosts = []string{"e0", "e1", "e2", "e3"}

// fleet is a data centre whose entry hosts read the log at different speeds.
type fleet struct {
	s     *state.State
	views map[string]*state.State
	n     int
}

func (f *fleet) apply(t *rapid.T, r *wire.Record) {
	f.n++
	r.Id, r.Rules, r.DataCentre = fmt.Sprint(f.n), 1, "a"
	next, _, err := state.Apply(f.s, f.s.Position, r)
	if err != nil {
		t.Fatal(err)
	}
	f.s = next
}

// Change replaces the members with a random set. A removed member has already lost its
// lease; it dispatches again only after rereading the state.
func (f *fleet) Change(t *rapid.T) {
	members := rapid.SliceOfNDistinct(rapid.SampledFrom(entryHosts), 1, 4, rapid.ID[string]).Draw(t, "members")
	f.apply(t, &wire.Record{Body: &wire.Record_Members{Members: &wire.Members{
		EntryHosts: members, Replaces: f.s.DataCentres["a"].MembersSince,
	}}})
	for _, name := range entryHosts {
		if !slices.Contains(members, name) {
			f.views[name] = state.New()
		}
	}
}

// Follow brings one entry host up to date with the log.
func (f *fleet) Follow(t *rapid.T) {
	f.views[rapid.SampledFrom(entryHosts).Draw(t, "who")] = f.s
}

// Report records the log positions of some entry hosts.
func (f *fleet) Report(t *rapid.T) {
	entries := []*wire.Position{}
	for _, name := range entryHosts {
		if rapid.Bool().Draw(t, "reports") {
			entries = append(entries, &wire.Position{EntryHost: name, Offset: f.views[name].Position})
		}
	}
	f.apply(t, &wire.Record{Body: &wire.Record_Positions{Positions: &wire.Positions{Entries: entries}}})
}

// Check checks that the members, each by its own view, use no more slots than the host has.
func (f *fleet) Check(t *rapid.T) {
	for _, has := range []int{1, 5, 8} {
		sum, shares := 0, ""
		for _, name := range f.s.DataCentres["a"].Members {
			share := Share(f.views[name].DataCentres["a"], name, "h", has)
			sum += share
			shares += fmt.Sprintf(" %s=%d", name, share)
		}
		if sum > has {
			t.Fatalf("the members use %d of %d slots:%s", sum, has, shares)
		}
	}
}

// TestShares guards against entry hosts using more slots than a host has while some of them
// lag behind a change of members.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{s: state.New(), views: map[string]*state.State{}}
		for _, name := range entryHosts {
			f.views[name] = f.s
		}
		t.Repeat(rapid.StateMachineActions(f))
	})
}

// TestAllSlotsUsed checks that all slots are shared out once every member is up to date.
func TestAllSlotsUsed(t *testing.T) {
	d := state.DataCentre{Members: []string{"e0", "e1", "e2"}, Positions: map[string]uint64{"e0": 5, "e1": 5, "e2": 5}, MembersSince: 4}
	for slots := range 10 {
		sum := 0
		for _, name := range d.Members {
			sum += Share(d, name, "h", slots)
		}
		if sum != slots {
			t.Errorf("%d of %d slots are used", sum, slots)
		}
	}
}
