package state

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// Snapshot writes the state down; equal states give equal bytes once marshalled.
// What a restore collects is left out: a restoring state gives no snapshots away.
func (s *State) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{
		Rules:    RulesVersion,
		Position: s.Position,
		Version:  s.Version,
		Sequence: s.Sequence,
		Config:   s.ConfigJSON,
	}
	for _, name := range s.HostNames() {
		snapshot.Hosts = append(snapshot.Hosts, writeHost(s.Hosts[name]))
	}
	for _, name := range s.DataCentreNames() {
		snapshot.DataCentres = append(snapshot.DataCentres, writeDataCentre(s.DataCentres[name]))
	}
	for _, generation := range []map[string]seenRecord{s.seen.old, s.seen.young} {
		for _, seen := range inOrder(generation) {
			snapshot.Seen = append(snapshot.Seen, &wire.SeenRecord{
				Id: seen.ID, Offset: seen.Offset, Accepted: seen.Accepted, Message: seen.Message,
			})
		}
	}
	return snapshot
}

// FromSnapshot reads a state that Snapshot wrote.
func FromSnapshot(snapshot *wire.Snapshot) (*State, error) {
	if snapshot.GetRules() > RulesVersion {
		return nil, errors.Wrapf(ErrNewerRules, "snapshot, rules %d", snapshot.GetRules())
	}
	document, err := fleet.Parse(snapshot.GetConfig())
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	s := New()
	s.Position = snapshot.GetPosition()
	s.Version = snapshot.GetVersion()
	s.Sequence = snapshot.GetSequence()
	s.Document = document
	s.ConfigJSON = snapshot.GetConfig()
	for _, h := range snapshot.GetHosts() {
		s.Hosts[h.GetName()] = readHost(h)
	}
	for _, d := range snapshot.GetDataCentres() {
		s.DataCentres[d.GetName()] = readDataCentre(d)
	}
	s.seen = readSeen(snapshot.GetSeen())
	return s, nil
}

// MarshalSnapshot gives the bytes of a snapshot, the same for equal states.
func MarshalSnapshot(snapshot *wire.Snapshot) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

func writeHost(h Host) *wire.Host {
	return &wire.Host{
		Name: h.Name, Pool: h.Pool, Phase: string(h.Phase), Since: h.Since, ToPool: h.ToPool,
		SinceUnixMs: h.SinceTime.UnixMilli(), MaintainedUnixMs: h.Maintained.UnixMilli(), ConfirmedBy: h.Confirmed, Then: string(h.Then), Home: h.Home,
	}
}

func readHost(h *wire.Host) Host {
	return Host{
		Name: h.GetName(), Pool: h.GetPool(), Phase: Phase(h.GetPhase()), Since: h.GetSince(), ToPool: h.GetToPool(),
		SinceTime:  time.UnixMilli(h.GetSinceUnixMs()).UTC(),
		Maintained: time.UnixMilli(h.GetMaintainedUnixMs()).UTC(),
		Confirmed:  h.GetConfirmedBy(),
		Then:       Purpose(h.GetThen()),
		Home:       h.GetHome(),
	}
}

func writeDataCentre(d DataCentre) *wire.DataCentre {
	w := &wire.DataCentre{
		Name: d.Name, EntryHosts: d.Members,
		MembersSince: d.MembersSince, Lost: d.Lost, Halted: d.Halted,
	}
	for _, member := range slices.Sorted(maps.Keys(d.Positions)) {
		w.Positions = append(w.Positions, &wire.Position{EntryHost: member, Offset: d.Positions[member]})
	}
	for _, members := range d.Former {
		w.Former = append(w.Former, &wire.MemberSet{EntryHosts: members})
	}
	return w
}

func readDataCentre(w *wire.DataCentre) DataCentre {
	d := DataCentre{
		Name: w.GetName(), Members: w.GetEntryHosts(),
		MembersSince: w.GetMembersSince(), Lost: w.GetLost(), Halted: w.GetHalted(),
		Positions: map[string]uint64{},
	}
	for _, p := range w.GetPositions() {
		d.Positions[p.GetEntryHost()] = p.GetOffset()
	}
	for _, set := range w.GetFormer() {
		d.Former = append(d.Former, set.GetEntryHosts())
	}
	return d
}

// readSeen rebuilds the generations; the newest half is the young one.
func readSeen(records []*wire.SeenRecord) seenRecords {
	seen := newSeenRecords()
	for _, r := range records {
		seen = seen.with(seenRecord{ID: r.GetId(), Offset: r.GetOffset(), Accepted: r.GetAccepted(), Message: r.GetMessage()})
	}
	return seen
}
