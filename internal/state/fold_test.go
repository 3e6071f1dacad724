package state

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/randomised"
)

func TestMain(m *testing.M) { os.Exit(randomised.Main(m, "1000")) }

var (
	dataCentres = []string{"a", "b"}
	hostNames   = []string{"h0", "h1", "h2", "h3", "h4", "h5"}
	poolNames   = []string{"p", "q", "r"}
	entryHosts  = []string{"e0", "e1"}
)

// generator draws random records, many of which the current state accepts.
type generator struct {
	t *rapid.T
	s *State
	n int
	// noRepeatedOffers stops repeated offers, which could keep a restore from ending.
	noRepeatedOffers bool
}

func draw[T any](g *generator, from []T) T { return rapid.SampledFrom(from).Draw(g.t, "x") }

func (g *generator) record() *wire.Record {
	g.n++
	r := &wire.Record{Id: fmt.Sprintf("r%d", g.n), Rules: 1, DataCentre: draw(g, dataCentres), Author: draw(g, entryHosts), WrittenUnixMs: int64(g.n)}
	action := &wire.HostAction{Host: draw(g, hostNames)}
	if rapid.Bool().Draw(g.t, "since") {
		action.Since = g.s.Hosts[action.GetHost()].Since
	}
	kind := rapid.IntRange(0, 12).Draw(g.t, "kind")
	if fitting := g.inPhase(map[int]Phase{3: Drained, 4: Drained, 6: Failed, 7: Drained, 8: Released}[kind]); len(fitting) > 0 {
		action.Host = draw(g, fitting)
	}
	switch kind {
	case 0:
		r.Body = &wire.Record_Patch{Patch: g.patch()}
	case 1, 2:
		action.Then = draw(g, []string{"hold", "reboot", "move", "lend"})
		action.ToPool = draw(g, poolNames)
		r.Body = &wire.Record_Drain{Drain: action}
	case 3:
		r.Body = &wire.Record_Reboot{Reboot: action}
	case 4:
		r.Body = &wire.Record_ReturnHost{ReturnHost: action}
	case 5:
		r.Body = &wire.Record_Fail{Fail: action}
	case 6:
		r.Body = &wire.Record_Recover{Recover: action}
	case 7:
		r.Body = &wire.Record_Release{Release: &wire.Release{Host: action.GetHost(), ToPool: draw(g, poolNames)}}
	case 8:
		r.Body = &wire.Record_Attach{Attach: action}
	case 9, 10:
		r.Body = &wire.Record_Positions{Positions: g.positions()}
	case 11:
		r.Body = &wire.Record_Members{Members: &wire.Members{
			EntryHosts: entryHosts[:rapid.IntRange(1, 2).Draw(g.t, "members")], Replaces: g.s.DataCentres[r.GetDataCentre()].MembersSince,
		}}
	case 12:
		if rapid.Bool().Draw(g.t, "halt") {
			r.Body = &wire.Record_Halt{Halt: &wire.Halt{DataCentre: draw(g, dataCentres), Halted: rapid.Bool().Draw(g.t, "x")}}
		} else {
			r.Body = &wire.Record_Contact{Contact: &wire.Contact{DataCentre: draw(g, dataCentres), Lost: rapid.Bool().Draw(g.t, "x")}}
		}
	}
	return r
}

// inPhase returns the hosts in a phase, sorted.
func (g *generator) inPhase(phase Phase) []string {
	names := []string{}
	for _, name := range g.s.HostNames() {
		if g.s.Hosts[name].Phase == phase {
			names = append(names, name)
		}
	}
	return names
}

// positions draws a report of both entry hosts, some behind the log or with work left on
// a host.
func (g *generator) positions() *wire.Positions {
	positions := &wire.Positions{}
	for _, name := range entryHosts {
		p := &wire.Position{EntryHost: name, Offset: g.s.Position - uint64(rapid.IntRange(0, int(min(g.s.Position, 2))).Draw(g.t, "behind"))}
		if rapid.IntRange(0, 3).Draw(g.t, "busy") == 0 {
			p.Busy = []string{draw(g, hostNames)}
		}
		positions.Entries = append(positions.Entries, p)
	}
	return positions
}

// patch draws a change of one host or pool, sometimes against a stale version.
func (g *generator) patch() *wire.Patch {
	p := &wire.Patch{BaseVersion: g.s.Version, Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH}
	if rapid.IntRange(0, 3).Draw(g.t, "stale") == 0 {
		p.BaseVersion++
	}
	text := ""
	switch n := rapid.IntRange(0, len(hostNames)-1).Draw(g.t, "host"); rapid.IntRange(0, 3).Draw(g.t, "change") {
	case 0:
		text = fmt.Sprintf(`{"hosts":{"h%d":{"data-centre":%q,"rack":"r%d","address":"10.0.0.1:%d","pool":%q,"slots":8}}}`,
			n, dataCentres[n%2], n/2, 1000+n, draw(g, poolNames))
	case 1:
		text = fmt.Sprintf(`{"hosts":{"h%d":null}}`, n)
	case 2:
		text = fmt.Sprintf(`{"pools":{%q:{"budget":{"min-available-hosts":%d,"max-unavailable-racks":%d}}}}`, draw(g, poolNames), n%3, n%2)
	case 3:
		text = fmt.Sprintf(`{"pools":{%q:null}}`, draw(g, poolNames))
	}
	p.Document = []byte(text)
	return p
}

// initialRecords declares all hosts and members, so that the random records act on a
// complete fleet.
func initialRecords() []*wire.Record {
	document := `{"pools":{"p":{"budget":{"min-available-hosts":2}},"q":{"budget":{"max-unavailable-hosts":1}},"r":{}},"hosts":{`
	for n, name := range hostNames {
		if n > 0 {
			document += ","
		}
		document += fmt.Sprintf(`%q:{"data-centre":%q,"rack":"r%d","address":"10.0.0.1:%d","pool":%q,"slots":8}`, name, dataCentres[n%2], n/2, 1000+n, poolNames[n/4])
	}
	patch := &wire.Patch{Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH, Document: []byte(document + "}}")}
	records := []*wire.Record{{Id: "begin", Rules: 1, Body: &wire.Record_Patch{Patch: patch}}}
	for _, dc := range dataCentres {
		members := &wire.Members{EntryHosts: entryHosts}
		records = append(records, &wire.Record{Id: "members-" + dc, Rules: 1, DataCentre: dc, Body: &wire.Record_Members{Members: members}})
	}
	return records
}

func mustApply(t rapid.TB, s *State, offset uint64, r *wire.Record) (*State, Outcome) {
	next, outcome, err := Apply(s, offset, r)
	if err != nil {
		t.Fatal(err)
	}
	return next, outcome
}

// reload returns the state after it was written to a snapshot and read back.
func reload(t rapid.TB, s *State) *State {
	data, err := MarshalSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &wire.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		t.Fatal(err)
	}
	restored, err := FromSnapshot(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestFoldAgainstNaive compares the fold of a random history, with repeated appends and
// restarts from snapshots, to a naive replay of the whole history.
func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := initialRecords()
		s, restarted := New(), New()
		for offset, r := range history {
			s, _ = mustApply(t, s, uint64(offset), r)
			restarted, _ = mustApply(t, restarted, uint64(offset), r)
		}
		g := &generator{t: t, s: s}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			r := g.record()
			if rapid.IntRange(0, 9).Draw(t, "repeated") == 0 {
				r = history[rapid.IntRange(0, len(history)-1).Draw(t, "earlier")]
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restarted = reload(t, restarted)
			}
			offset := uint64(len(history))
			history = append(history, r)
			var outcome, other Outcome
			s, outcome = mustApply(t, s, offset, r)
			restarted, other = mustApply(t, restarted, offset, r)
			if diff := cmp.Diff(outcome, other); diff != "" {
				t.Fatalf("a restarted replica folds differently:\n%s", diff)
			}
			g.s = s
		}
		compareWithNaive(t, s, replay(history), history)
		if diff := cmp.Diff(snapshotBytes(t, s), snapshotBytes(t, restarted)); diff != "" {
			t.Fatalf("replicas differ:\n%s", diff)
		}
	})
}

// snapshotBytes returns the encoded snapshot, which is the same for equal states.
func snapshotBytes(t rapid.TB, s *State) string {
	data, err := MarshalSnapshot(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// hostState is the part of a host's state that the fold and the naive replay must agree on.
type hostState struct {
	Pool, ToPool, Then string
	Phase              Phase
	Since              uint64
}

func compareWithNaive(t *rapid.T, s *State, n *naive, history []*wire.Record) {
	got, want := map[string]hostState{}, map[string]hostState{}
	for name, h := range s.Hosts {
		got[name] = hostState{h.Pool, h.ToPool, string(h.Purpose), h.Phase, h.Since}
	}
	for name, h := range n.hosts {
		want[name] = hostState{h.pool, h.toPool, h.purpose, h.phase, h.since}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("hosts (-naive +fold):\n%s", diff)
	}
	if s.Version != n.version {
		t.Fatalf("version %d, naive %d", s.Version, n.version)
	}
	for offset, r := range history {
		if outcome, ok := s.Outcome(r.GetId()); ok && outcome.Accepted != n.accepted[r.GetId()] {
			t.Fatalf("offset %d: accepted %v, naive %v: %s\n%v", offset, outcome.Accepted, n.accepted[r.GetId()], outcome.Message, r)
		}
	}
}

// replica is a reader that may have missed the last records of a lost log.
type replica struct {
	name string
	s    *State
	// highest is the highest version that the replica has reached.
	highest uint64
}

// TestRestore loses the log after readers have reached different positions, and restores
// the state from the offers of several entry hosts at once. All must end with the same
// state, and no version may go back.
func TestRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := initialRecords()
		replicas := []*replica{{name: "e0"}, {name: "e1"}, {name: "e2"}}
		full := New()
		states := []*State{full}
		for offset, r := range history {
			full, _ = mustApply(t, full, uint64(offset), r)
			states = append(states, full)
		}
		g := &generator{t: t, s: full}
		for range rapid.IntRange(0, 20).Draw(t, "records") {
			r := g.record()
			full, _ = mustApply(t, full, full.Position, r)
			g.s = full
			states = append(states, full)
		}
		first := full.Position
		for _, r := range replicas {
			r.s = states[rapid.IntRange(len(history), len(states)-1).Draw(t, "reached")]
			r.highest = r.s.Version
			if !r.s.Includes(first) {
				r.s = r.s.BeginRestore(first)
			}
		}
		var log []*wire.Record
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			r := replicas[rapid.IntRange(0, 2).Draw(t, "who")]
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				log = r.appendNext(g, log)
			default:
				r.read(t, first, log)
			}
		}
		g.noRepeatedOffers = true
		for n := range 12 {
			log = replicas[n%3].appendNext(g, log)
			for _, r := range replicas {
				for r.s.Position < first+uint64(len(log)) {
					r.read(t, first, log)
				}
			}
		}
		restored := slices.ContainsFunc(log, func(r *wire.Record) bool { return r.GetClose() != nil })
		for _, r := range replicas {
			if r.s.Restoring {
				t.Fatalf("%s did not end the restore", r.name)
			}
			if restored && snapshotBytes(t, r.s) != snapshotBytes(t, replicas[0].s) {
				t.Fatalf("replicas differ after the restore")
			}
		}
	})
}

// appendNext appends the offer or close that the replica's state asks for, otherwise an
// ordinary record.
func (r *replica) appendNext(g *generator, log []*wire.Record) []*wire.Record {
	g.s = r.s
	record := g.record()
	record.Author = r.name
	switch {
	case r.s.NeedsOffer(r.name):
		record.Body = &wire.Record_Offer{Offer: r.s.Offer()}
	case r.s.ReadyToClose(map[string]bool{}):
		record.Body = &wire.Record_Close{Close: r.s.CloseRecord(nil)}
	case !g.noRepeatedOffers && rapid.IntRange(0, 3).Draw(g.t, "copy") == 0:
		// A process whose append got no answer sends its offer again as another record.
		for _, earlier := range log {
			if earlier.GetOffer() != nil && earlier.GetAuthor() == r.name {
				record.Body = earlier.GetBody()
			}
		}
	}
	return append(log, record)
}

// read folds the next record of the log, if there is one.
func (r *replica) read(t rapid.TB, first uint64, log []*wire.Record) {
	if r.s.Position >= first+uint64(len(log)) {
		return
	}
	r.s, _ = mustApply(t, r.s, r.s.Position, log[r.s.Position-first])
	if r.s.Version < r.highest {
		t.Fatalf("%s went back from version %d to %d", r.name, r.highest, r.s.Version)
	}
	r.highest = r.s.Version
}

// TestPatchedBytesAreDeterministic folds one patch many times. The order in which a library
// iterates over its maps must not change the bytes of the document.
func TestPatchedBytesAreDeterministic(t *testing.T) {
	patch := &wire.Patch{
		Format:   wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH,
		Document: []byte(`{"pools":{"p":{},"q":{},"r":{},"s":{}},"teams":{"x":{"quota":1},"y":{},"z":{}}}`),
	}
	first := ""
	for range 50 {
		s, _ := mustApply(t, New(), 0, &wire.Record{Id: "r", Rules: 1, Body: &wire.Record_Patch{Patch: patch}})
		if first == "" {
			first = string(s.ConfigJSON)
		}
		if diff := cmp.Diff(first, string(s.ConfigJSON)); diff != "" {
			t.Fatal(diff)
		}
	}
}
