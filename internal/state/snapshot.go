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

// Snapshot returns the state as a message; MarshalSnapshot encodes equal states to equal
// bytes. The offers that a restore collects are left out: a state that is being restored
// publishes no snapshots.
func (s *State) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{
		Rules:    RulesVersion,
		Position: s.Position,
		Version:  s.Version,
		Sequence: s.Sequence,
		Config:   s.ConfigJSON,
	}
	for _, name := range s.HostNames() {
		snapshot.Hosts = append(snapshot.Hosts, hostToProto(s.Hosts[name]))
	}
	for _, name := range s.DataCentreNames() {
		snapshot.DataCentres = append(snapshot.DataCentres, dataCentreToProto(s.DataCentres[name]))
	}
	for _, generation := range []map[string]seenRecord{s.seen.old, s.seen.young} {
		for _, seen := range sortedByOffset(generation) {
			snapshot.Seen = append(snapshot.Seen, &wire.SeenRecord{
				Id: seen.ID, Offset: seen.Offset, Accepted: seen.Accepted, Message: seen.Message,
			})
		}
	}
	return snapshot
}

// FromSnapshot returns the state that a snapshot holds.
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
		s.Hosts[h.GetName()] = hostFromProto(h)
	}
	for _, d := range snapshot.GetDataCentres() {
		s.DataCentres[d.GetName()] = dataCentreFromProto(d)
	}
	s.seen = seenFromProto(snapshot.GetSeen())
	return s, nil
}

// MarshalSnapshot encodes a snapshot; equal states have equal bytes.
func MarshalSnapshot(snapshot *wire.Snapshot) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

func hostToProto(h Host) *wire.Host {
	return &wire.Host{
		Name: h.Name, Pool: h.Pool, Phase: string(h.Phase), Since: h.Since, ToPool: h.ToPool,
		SinceUnixMs: h.SinceTime.UnixMilli(), MaintainedUnixMs: h.MaintainedAt.UnixMilli(), ConfirmedBy: h.Confirmed, Then: string(h.Purpose), Home: h.Home,
	}
}

func hostFromProto(h *wire.Host) Host {
	return Host{
		Name: h.GetName(), Pool: h.GetPool(), Phase: Phase(h.GetPhase()), Since: h.GetSince(), ToPool: h.GetToPool(),
		SinceTime:    time.UnixMilli(h.GetSinceUnixMs()).UTC(),
		MaintainedAt: time.UnixMilli(h.GetMaintainedUnixMs()).UTC(),
		Confirmed:    h.GetConfirmedBy(),
		Purpose:      Purpose(h.GetThen()),
		Home:         h.GetHome(),
	}
}

func dataCentreToProto(d DataCentre) *wire.DataCentre {
	w := &wire.DataCentre{
		Name: d.Name, EntryHosts: d.Members,
		MembersSince: d.MembersSince, Lost: d.Lost, Halted: d.Halted,
	}
	for _, member := range slices.Sorted(maps.Keys(d.Positions)) {
		w.Positions = append(w.Positions, &wire.Position{EntryHost: member, Offset: d.Positions[member]})
	}
	for _, members := range d.FormerMembers {
		w.Former = append(w.Former, &wire.MemberSet{EntryHosts: members})
	}
	return w
}

func dataCentreFromProto(w *wire.DataCentre) DataCentre {
	d := DataCentre{
		Name: w.GetName(), Members: w.GetEntryHosts(),
		MembersSince: w.GetMembersSince(), Lost: w.GetLost(), Halted: w.GetHalted(),
		Positions: map[string]uint64{},
	}
	for _, p := range w.GetPositions() {
		d.Positions[p.GetEntryHost()] = p.GetOffset()
	}
	for _, set := range w.GetFormer() {
		d.FormerMembers = append(d.FormerMembers, set.GetEntryHosts())
	}
	return d
}

// seenFromProto rebuilds the two generations from records in log order; the newest
// records go into the young one.
func seenFromProto(records []*wire.SeenRecord) seenRecords {
	seen := newSeenRecords()
	for _, r := range records {
		seen = seen.with(seenRecord{ID: r.GetId(), Offset: r.GetOffset(), Accepted: r.GetAccepted(), Message: r.GetMessage()})
	}
	return seen
}
