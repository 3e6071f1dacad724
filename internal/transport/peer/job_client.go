package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// jobCallTimeout bounds a call about jobs; they are answered from memory.
const jobCallTimeout = 600 * time.Millisecond

// relayTimeout bounds a call that waits for an append of the peer's.
const relayTimeout = 1300 * time.Millisecond

// JobClient asks other entry hosts about jobs.
type JobClient struct {
	network Network
	pool    *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

// NewJobClient makes a client on a network.
func NewJobClient(network Network) *JobClient {
	return &JobClient{
		network: network,
		pool:    drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTime, KeyCapacity: maxPerPeer}),
	}
}

func (c *JobClient) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, verdict.Refuse(verdict.CauseUpstreamDial, "connect to peer "+address.String()+": "+err.Error())
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close ends all connections.
func (c *JobClient) Close() { _ = c.pool.Close() }

func callJob[Q, A any](ctx context.Context, c *JobClient, address netip.AddrPort, method func(wire.DRPCJobPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	return callJobWithin(ctx, jobCallTimeout, c, address, method, request)
}

func callJobWithin[Q, A any](ctx context.Context, limit time.Duration, c *JobClient, address netip.AddrPort, method func(wire.DRPCJobPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := method(wire.NewDRPCJobPeerClient(c.pool.Get(ctx, address, c.dial)), ctx, request)
	return answer, errors.Wrapf(err, "call entry host %s", address)
}

// State asks how a job stands.
func (c *JobClient) State(ctx context.Context, address netip.AddrPort, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.State, request)
}

// Waiting asks how many jobs of a queue wait.
func (c *JobClient) Waiting(ctx context.Context, address netip.AddrPort, request *wire.WaitingRequest) (*wire.WaitingReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Waiting, request)
}

// Load asks for the demand of the pools that an entry host owns.
func (c *JobClient) Load(ctx context.Context, address netip.AddrPort) (*wire.LoadReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Load, &wire.LoadRequest{})
}

// Restrict tells the owner of a pool what hosts may be used for.
func (c *JobClient) Restrict(ctx context.Context, address netip.AddrPort, request *wire.RestrictRequest) (*wire.RestrictReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Restrict, request)
}

// Gone tells the owner of a pool that a worker has ended.
func (c *JobClient) Gone(ctx context.Context, address netip.AddrPort, request *wire.GoneRequest) (*wire.GoneReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Gone, request)
}

// Relay asks another entry host to add a record to the log.
func (c *JobClient) Relay(ctx context.Context, address netip.AddrPort, request *wire.RelayRequest) (*wire.RelayReply, error) {
	return callJobWithin(ctx, relayTimeout, c, address, wire.DRPCJobPeerClient.Relay, request)
}

// Configuration asks for a newer configuration.
func (c *JobClient) Configuration(ctx context.Context, address netip.AddrPort, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Configuration, request)
}
