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

// peerHandler answers other entry hosts.
type peerHandler struct{ e *EntryHost }

// Snapshot gives the state away only if this entry host acts on it itself.
func (p peerHandler) Snapshot(above uint64) *wire.Snapshot {
	s := p.e.follower.State()
	if !p.e.follower.Ready() || s.Restoring || s.Position <= above {
		return nil
	}
	return s.Snapshot()
}

// Position reads the position in force before the busy hosts: work that is
// begun by an older view is then counted.
func (p peerHandler) Position() *wire.Position {
	offset := p.e.table.Position()
	if !p.e.follower.Ready() {
		offset = 0
	}
	awaiting := p.e.follower.State().Awaiting(p.e.settings.DataCentre)
	return &wire.Position{
		EntryHost: p.e.settings.Name, Incarnation: p.e.incarnation, Offset: offset, Busy: p.e.table.Busy(awaiting),
	}
}

// InContact tells whether the log was read lately.
func (p peerHandler) InContact() bool { return p.e.follower.InContact() }

// Known lists the entry hosts that this one knows of.
func (p peerHandler) Known() (dataCentre string, entryHosts []platformapi.EntryHost) {
	return p.e.settings.DataCentre, p.e.directory.EntryHosts("")
}

// ClaimHere claims through this process.
func (p peerHandler) ClaimHere(ctx context.Context, c *wire.Claim) (claim.Result, error) {
	return p.e.claims.AskHere(ctx, c)
}

// JoinHere waits for a request in flight here.
func (p peerHandler) JoinHere(ctx context.Context, key claim.Key) *wire.JoinReply {
	answer, err, found := p.e.dispatcher.Join(ctx, key)
	if !found {
		return &wire.JoinReply{}
	}
	if err != nil {
		return &wire.JoinReply{Found: true, Verdict: string(verdict.Of(err).Verdict)}
	}
	return &wire.JoinReply{
		Found: true, Verdict: string(verdict.Ran), Status: int32(answer.Status), //nolint:gosec // An HTTP status.
		ContentType: answer.ContentType, Body: answer.Body,
	}
}

// joiner asks the holder of a claim for the answer.
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

// positions asks entry hosts, this one included, for their positions.
type positions struct{ e *EntryHost }

func (p positions) Position(ctx context.Context, name string) (*wire.Position, error) {
	if name == p.e.settings.Name {
		return peerHandler(p).Position(), nil
	}
	reply, err := p.e.peers.Report(ctx, name)
	return reply.GetPosition(), err
}
