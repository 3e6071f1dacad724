package entryhost

import (
	"context"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/transport/peer"
)

// peerHandler answers the requests of other entry hosts.
type peerHandler struct{ e *EntryHost }

// Snapshot returns the state if its position is above the given one. It returns nil
// otherwise, and while this entry host is not ready or a restore is in progress.
func (p peerHandler) Snapshot(above uint64) *wire.Snapshot {
	s := p.e.follower.State()
	if !p.e.follower.Ready() || s.Restoring || s.Position <= above {
		return nil
	}
	return s.Snapshot()
}

// Position returns the position in force and the hosts that are busy. It reads the
// position first, so that the busy hosts include work begun under an older view.
func (p peerHandler) Position() *wire.Position {
	offset := p.e.table.Position()
	if !p.e.follower.Ready() {
		offset = 0
	}
	awaiting := p.e.follower.State().AwaitingConfirmation(p.e.settings.DataCentre)
	return &wire.Position{
		EntryHost: p.e.settings.Name, Incarnation: p.e.incarnation, Offset: offset, Busy: p.e.table.Busy(awaiting),
	}
}

// InContact reports whether the log was recently read to its end.
func (p peerHandler) InContact() bool { return p.e.follower.InContact() }

// KnownEntryHosts returns the data centre of this entry host and the entry hosts that it
// knows of.
func (p peerHandler) KnownEntryHosts() (dataCentre string, entryHosts []platformapi.EntryHost) {
	return p.e.settings.DataCentre, p.e.directory.EntryHosts("")
}

// ClaimLocally claims a key for another entry host.
func (p peerHandler) ClaimLocally(ctx context.Context, c *wire.Claim) (claim.Result, error) {
	return p.e.claimer.ClaimLocally(ctx, c)
}

// JoinLocally waits for the answer of a request that this entry host has in flight or
// still keeps.
func (p peerHandler) JoinLocally(ctx context.Context, key claim.Key) *wire.JoinReply {
	answer, err, found := p.e.dispatcher.Join(ctx, key)
	if !found {
		return &wire.JoinReply{}
	}
	if err != nil {
		return &wire.JoinReply{Found: true, Verdict: string(verdict.FromError(err).Verdict)}
	}
	return &wire.JoinReply{
		Found: true, Verdict: string(verdict.Ran), Status: int32(answer.Status), //nolint:gosec // An HTTP status.
		ContentType: answer.ContentType, Body: answer.Body,
	}
}

// joiner gets the answer of a request from the entry host that holds its claim.
type joiner struct{ peers *peer.Client }

func (j joiner) Join(ctx context.Context, holder string, key claim.Key) (dispatch.Answer, verdict.Verdict, bool) {
	reply, err := j.peers.Join(ctx, holder, key)
	if err != nil || !reply.GetFound() {
		return dispatch.Answer{}, verdict.MayHaveRun, false
	}
	answer := dispatch.Answer{
		Status: int(reply.GetStatus()), ContentType: reply.GetContentType(), Body: reply.GetBody(), Host: "via " + holder,
	}
	return answer, verdict.Verdict(reply.GetVerdict()), true
}

// positionReader reads the positions of entry hosts, this one included.
type positionReader struct{ e *EntryHost }

func (p positionReader) Position(ctx context.Context, name string) (*wire.Position, error) {
	if name == p.e.settings.Name {
		return peerHandler(p).Position(), nil
	}
	reply, err := p.e.peers.Report(ctx, name)
	return reply.GetPosition(), err
}
