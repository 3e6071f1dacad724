package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// Handler answers the calls of peers; the entry host implements it.
type Handler interface {
	// Snapshot returns the folded state if it is above a position and may be shared with
	// peers, and nil otherwise.
	Snapshot(above uint64) *wire.Snapshot
	// Position returns the position that this entry host reports.
	Position() *wire.Position
	// InContact reports whether the log was read recently.
	InContact() bool
	// KnownEntryHosts returns the data centre of this entry host and the entry hosts that it
	// knows of.
	KnownEntryHosts() (dataCentre string, entryHosts []platformapi.EntryHost)
	// ClaimLocally claims a key through this process on behalf of a peer.
	ClaimLocally(ctx context.Context, c *wire.Claim) (claim.Result, error)
	// JoinLocally waits for the answer to a request that is in flight in this process.
	JoinLocally(ctx context.Context, key claim.Key) *wire.JoinReply
}

// Server answers the calls of peers.
type Server struct {
	listener net.Listener
	address  netip.AddrPort
	cancel   context.CancelFunc
	done     chan struct{}
}

// Listen starts a server for peers at an address.
func Listen(address netip.AddrPort, handler Handler) (*Server, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, service{handler}); err != nil {
		return nil, errors.Wrap(err, "register the peer service")
	}
	return listen(TCP{}, address, mux)
}

func listen(network Network, address netip.AddrPort, mux *drpcmux.Mux) (*Server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "read the bound address")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, address: bound, cancel: cancel, done: make(chan struct{})}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	go func() {
		defer close(s.done)
		_ = server.Serve(ctx, listener)
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Close stops the server and waits until it has stopped.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	<-s.done
}

// service translates DRPC messages into calls of the handler.
type service struct{ handler Handler }

func (s service) State(_ context.Context, request *wire.StateRequest) (*wire.StateReply, error) {
	return &wire.StateReply{Snapshot: s.handler.Snapshot(request.GetPosition())}, nil
}

func (s service) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	dataCentre, known := s.handler.KnownEntryHosts()
	reply := &wire.ReportReply{Position: s.handler.Position(), InContact: s.handler.InContact(), DataCentre: dataCentre}
	for _, e := range known {
		reply.EntryHosts = append(reply.EntryHosts, &wire.EntryHost{Name: e.Name, DataCentre: e.DataCentre, Address: e.PeerAddress.String()})
	}
	return reply, nil
}

func (s service) Claim(ctx context.Context, request *wire.ClaimRequest) (*wire.ClaimReply, error) {
	result, err := s.handler.ClaimLocally(ctx, request.GetClaim())
	if err != nil {
		return nil, errors.Wrap(err, "claim")
	}
	return &wire.ClaimReply{
		Result: resultOf(result.Status), Holder: result.Holder, HolderIncarnation: result.Incarnation,
	}, nil
}

func resultOf(status claim.Status) wire.ClaimResult {
	for result, s := range claimStatuses {
		if s == status {
			return result
		}
	}
	return wire.ClaimResult_CLAIM_RESULT_UNKNOWN
}

func (s service) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinReply, error) {
	var key claim.Key
	if copy(key[:], request.GetKey()) != len(key) {
		return nil, errors.New("a claim key must have 16 bytes")
	}
	return s.handler.JoinLocally(ctx, key), nil
}
