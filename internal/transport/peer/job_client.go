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

// jobCallTimeout bounds the calls about jobs that the peer answers from memory.
const jobCallTimeout = 600 * time.Millisecond

// relayTimeout bounds a call for which the peer appends to the log before it replies.
const relayTimeout = 1300 * time.Millisecond

// JobClient sends calls about jobs to other entry hosts.
type JobClient struct {
	network Network
	pool    *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

// NewJobClient creates a client that connects through network.
func NewJobClient(network Network) *JobClient {
	return &JobClient{
		network: network,
		pool:    drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}),
	}
}

func (c *JobClient) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := c.network.Dial(ctx, address)
	if err != nil {
		return nil, verdict.NotRunError(verdict.CauseUpstreamDial, "connect to peer "+address.String()+": "+err.Error())
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes all connections.
func (c *JobClient) Close() { _ = c.pool.Close() }

func callJob[Q, A any](ctx context.Context, c *JobClient, address netip.AddrPort, method func(wire.DRPCJobPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	return callJobWithTimeout(ctx, jobCallTimeout, c, address, method, request)
}

func callJobWithTimeout[Q, A any](ctx context.Context, timeout time.Duration, c *JobClient, address netip.AddrPort, method func(wire.DRPCJobPeerClient, context.Context, Q) (A, error), request Q) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := method(wire.NewDRPCJobPeerClient(c.pool.Get(ctx, address, c.dial)), ctx, request)
	return answer, errors.Wrapf(err, "call entry host %s", address)
}

// State asks for the state of a job.
func (c *JobClient) State(ctx context.Context, address netip.AddrPort, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.State, request)
}

// ReleaseQueue asks the owner of a partition to take no more new jobs of a queue.
func (c *JobClient) ReleaseQueue(ctx context.Context, address netip.AddrPort, request *wire.ReleaseQueueRequest) (*wire.ReleaseQueueReply, error) {
	return callJobWithTimeout(ctx, relayTimeout, c, address, wire.DRPCJobPeerClient.ReleaseQueue, request)
}

// FindJobs asks the owner of a partition which of some jobs it holds.
func (c *JobClient) FindJobs(ctx context.Context, address netip.AddrPort, request *wire.FindJobsRequest) (*wire.FindJobsReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.FindJobs, request)
}

// Waiting asks for the number of waiting jobs of a queue in the partitions that a peer owns.
func (c *JobClient) Waiting(ctx context.Context, address netip.AddrPort, request *wire.WaitingRequest) (*wire.WaitingReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Waiting, request)
}

// Load asks for the load of the pools that an entry host owns.
func (c *JobClient) Load(ctx context.Context, address netip.AddrPort, request *wire.LoadRequest) (*wire.LoadReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Load, request)
}

// Allot sets, at the owner of a pool, the parts of the organisations' quotas that it may use.
func (c *JobClient) Allot(ctx context.Context, address netip.AddrPort, request *wire.AllotRequest) (*wire.AllotReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Allot, request)
}

// Restrict sets, at the owner of a pool, what its hosts may be used for.
func (c *JobClient) Restrict(ctx context.Context, address netip.AddrPort, request *wire.RestrictRequest) (*wire.RestrictReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Restrict, request)
}

// Gone notifies the owner of a pool that a worker has ended.
func (c *JobClient) Gone(ctx context.Context, address netip.AddrPort, request *wire.GoneRequest) (*wire.GoneReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Gone, request)
}

// Relay asks another entry host to append a record to the log.
func (c *JobClient) Relay(ctx context.Context, address netip.AddrPort, request *wire.RelayRequest) (*wire.RelayReply, error) {
	return callJobWithTimeout(ctx, relayTimeout, c, address, wire.DRPCJobPeerClient.Relay, request)
}

// Standing notifies an owner that the sender stands for ownership too.
func (c *JobClient) Standing(ctx context.Context, address netip.AddrPort, request *wire.StandingRequest) error {
	_, err := callJob(ctx, c, address, wire.DRPCJobPeerClient.Standing, request)
	return err
}

// Configuration asks for a newer configuration, if the peer has one.
func (c *JobClient) Configuration(ctx context.Context, address netip.AddrPort, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	return callJob(ctx, c, address, wire.DRPCJobPeerClient.Configuration, request)
}
