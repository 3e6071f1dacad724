// Package peer provides the clients and servers for calls between entry hosts over DRPC.
package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/hornbeammast/hornbeammast/internal/coordination/claim"
	"github.com/hornbeammast/hornbeammast/internal/protocol/platformapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// callTimeout bounds connecting to a peer and each call of a Client except Join.
	callTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 10 * time.Second
	// maxIdlePerPeer is the maximum number of idle connections to one peer.
	maxIdlePerPeer = 16
	// maxMessage bounds the size of a message, in bytes. It must exceed the largest
	// snapshot, which is that of a fleet of the target size.
	maxMessage = 16 << 20
)

// Directory finds entry hosts by name and by data centre.
type Directory interface {
	Address(name string) (netip.AddrPort, bool)
	EntryHosts(dataCentre string) []platformapi.EntryHost
}

// Client sends one entry host's calls to the others.
type Client struct {
	directory  Directory
	self       string
	dataCentre string
	pool       *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

// NewClient creates the client of the entry host self in dataCentre.
func NewClient(directory Directory, self, dataCentre string) *Client {
	return &Client{
		directory: directory, self: self, dataCentre: dataCentre,
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}),
	}
}

// Close closes all connections.
func (c *Client) Close() { _ = c.pool.Close() }

func (c *Client) peer(ctx context.Context, name string) (wire.DRPCPeerClient, error) {
	address, ok := c.directory.Address(name)
	if !ok {
		return nil, errors.Newf("entry host %q is not in the live list", name)
	}
	return wire.NewDRPCPeerClient(c.pool.Get(ctx, address, dial)), nil
}

func dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := TCP{}.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to peer %s", address)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage}}
}

// call calls a peer and waits for the reply for at most callTimeout.
func call[Q, A any](ctx context.Context, c *Client, name string, method func(wire.DRPCPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callWithoutTimeout(ctx, c, name, method, request)
}

// callWithoutTimeout calls a peer and waits for the reply until ctx ends.
func callWithoutTimeout[Q, A any](ctx context.Context, c *Client, name string, method func(wire.DRPCPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	peer, err := c.peer(ctx, name)
	if err != nil {
		var zero A
		return zero, err
	}
	answer, err := method(peer, ctx, request)
	return answer, errors.Wrapf(err, "call entry host %q", name)
}

// Snapshots asks the other entry hosts for snapshots of their state above a position. It
// leaves out those that fail to reply or have none.
func (c *Client) Snapshots(ctx context.Context, above uint64, onlyOwnDataCentre bool) []*wire.Snapshot {
	dataCentre := ""
	if onlyOwnDataCentre {
		dataCentre = c.dataCentre
	}
	found := []*wire.Snapshot{}
	for _, e := range c.directory.EntryHosts(dataCentre) {
		if e.Name == c.self {
			continue
		}
		reply, err := call(ctx, c, e.Name, wire.DRPCPeerClient.State, &wire.StateRequest{Position: above})
		if err == nil && reply.GetSnapshot() != nil {
			found = append(found, reply.GetSnapshot())
		}
	}
	return found
}

// Report asks for an entry host's position and whether it is in contact with the log.
func (c *Client) Report(ctx context.Context, name string) (*wire.ReportReply, error) {
	return call(ctx, c, name, wire.DRPCPeerClient.Report, &wire.ReportRequest{})
}

// Discover asks the peer at an address for the entry hosts that it knows of. The peer must
// be in the client's own data centre.
func (c *Client) Discover(ctx context.Context, address netip.AddrPort) ([]platformapi.EntryHost, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCPeerClient(c.pool.Get(ctx, address, dial)).Report(ctx, &wire.ReportRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "call peer %s", address)
	}
	if reply.GetDataCentre() != c.dataCentre {
		return nil, errors.Newf("peer %s is in data centre %q; name only peers of %q", address, reply.GetDataCentre(), c.dataCentre)
	}
	found := []platformapi.EntryHost{}
	for _, e := range reply.GetEntryHosts() {
		peerAddress, err := netip.ParseAddrPort(e.GetAddress())
		if err != nil {
			continue
		}
		found = append(found, platformapi.EntryHost{
			Name: e.GetName(), DataCentre: e.GetDataCentre(), PeerAddress: peerAddress, State: platformapi.Live,
		})
	}
	return found, nil
}

// Claim asks the owner of a stream to claim a key.
func (c *Client) Claim(ctx context.Context, name string, request *wire.Claim) (claim.Result, error) {
	reply, err := call(ctx, c, name, wire.DRPCPeerClient.Claim, &wire.ClaimRequest{Claim: request})
	if err != nil {
		return claim.Result{}, err
	}
	return claim.Result{
		Status: claimStatuses[reply.GetResult()], Holder: reply.GetHolder(), Incarnation: reply.GetHolderIncarnation(),
	}, nil
}

var claimStatuses = map[wire.ClaimResult]claim.Status{
	wire.ClaimResult_CLAIM_RESULT_WON:  claim.Won,
	wire.ClaimResult_CLAIM_RESULT_LOST: claim.Lost,
	wire.ClaimResult_CLAIM_RESULT_DONE: claim.Done,
}

// Join waits for the answer to a request that another entry host has in flight.
func (c *Client) Join(ctx context.Context, name string, key claim.Key) (*wire.JoinReply, error) {
	return callWithoutTimeout(ctx, c, name, wire.DRPCPeerClient.Join, &wire.JoinRequest{Key: key[:]})
}
