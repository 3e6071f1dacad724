package jobhost

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/coordination/owner"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/transport/peer"
)

const (
	// TopicJobs has the records of jobs, partitioned by pool. Topics whose name
	// begins with the prefix keep the newest record of each key.
	TopicJobs = "keyed.jobs"
	// TopicFleet has what the owner of machines keeps for later ones.
	TopicFleet = "keyed.fleet"
	// fleetPartition is the partition of jobs whose owner also moves and maintains machines.
	fleetPartition = 0
	// hostsGather is how long the reports of hosts are gathered; they come all the time.
	hostsGather = 250 * time.Millisecond
	// contactTime is how long after the last answer the log counts as reached: two
	// renewals of the membership.
	contactTime = 1300 * time.Millisecond
	// askPeersInterval is how often peers are asked for the configuration while the log
	// does not answer.
	askPeersInterval = 400 * time.Millisecond
	// ownersKnown is how old the list of owners may become while nobody needs it.
	ownersKnown = 5 * time.Second
	// groupName is the group of all entry hosts.
	groupName = "entry-hosts"
)

// Settings are what a job host must be told.
type Settings struct {
	Name        string
	DataCentre  string
	PeerAddress netip.AddrPort
	// Partitions is how many partitions the platform gives a topic.
	Partitions int
	// GroupTTL is how long a silent member keeps its partitions.
	GroupTTL time.Duration
	Limits   schedule.Limits
	Capacity Capacity
}

// JobHost is one running entry host for jobs.
type JobHost struct {
	settings Settings
	platform Platform
	events   Events
	now      func() time.Time
	metrics  *metrics

	operators *operatorsView
	hosts     *hostsView
	keeper    *owner.Keeper
	directory *directory
	intake    *intake.Intake
	recorder  *logRecorder
	network   peer.Network
	peers     *peer.JobClient
	server    *peer.JobServer

	cancel   context.CancelFunc
	loops    sync.WaitGroup
	draining atomic.Bool

	mu         sync.Mutex
	partitions map[keyedlog.Partition]*partition
	fleet      *fleetOwner
	// closed is set once nothing more may be started.
	closed bool
	// unfollow ends the reading of the hosts' reports; nil while nothing is owned.
	unfollow context.CancelFunc
}

// Option changes how a job host is started.
type Option func(*JobHost)

// WithNetwork connects the job host to its peers by another network than TCP.
func WithNetwork(network peer.Network) Option { return func(h *JobHost) { h.network = network } }

// Start starts a job host on a platform; now must go on while the machine is suspended.
func Start(s Settings, platform Platform, events Events, now func() time.Time, opts ...Option) (*JobHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &JobHost{
		settings: s, platform: platform, events: events, now: now, metrics: newMetrics(), cancel: cancel,
		partitions: map[keyedlog.Partition]*partition{}, network: peer.TCP{},
	}
	for _, apply := range opts {
		apply(h)
	}
	server, err := peer.ListenJobs(h.network, s.PeerAddress, peerAnswers{h})
	if err != nil {
		cancel()
		return nil, err
	}
	h.server = server
	h.peers = peer.NewJobClient(h.network)
	h.operators = &operatorsView{published: platform.Published, events: events, changed: h.refresh, waves: map[int64]machine.Wave{}}
	h.hosts = &hostsView{published: platform.Published, events: events, changed: h.refresh, hosts: map[worker.ID]worker.Report{}}
	member := memberName(s.Name, server.Address(), now())
	h.directory = newDirectory(h, member)
	h.keeper = owner.New(platform.Log, h, events, now, keyedlog.JoinRequest{
		Group: groupName, Member: member, Topics: []string{TopicJobs}, TTL: s.GroupTTL,
	})
	h.recorder = newLogRecorder(h)
	h.intake = intake.New(h.recorder, h.directory, events, now)
	h.startLoops(ctx)
	events.Event("job-host-started", "name", s.Name, "data-centre", s.DataCentre, "member", member, "peer", server.Address())
	return h, nil
}

func (h *JobHost) startLoops(ctx context.Context) {
	operators := &follower{
		log: h.platform.Log, events: h.events, partition: h.platform.Published.Operators(), now: h.now,
		take: h.operators.take,
	}
	h.loops.Go(func() { operators.run(ctx) })
	h.loops.Go(func() { h.askPeers(ctx) })
	h.loops.Go(func() { h.keeper.Run(ctx) })
}

// askPeers keeps the configuration in force while the log turns this entry host away.
func (h *JobHost) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, askPeersInterval)
		if h.inContact() {
			// The list of owners has to be known before the log can't be asked for it.
			h.directory.refresh(ctx, ownersKnown)
			continue
		}
		version := int64(0)
		if config := h.config(); config != nil {
			version = config.Version
		}
		peers := h.directory.members(ctx)
		for _, address := range peers[:min(relayPeers, len(peers))] {
			if h.directory.unreachable(address) {
				continue
			}
			reply, err := h.peers.Configuration(ctx, address, &wire.ConfigurationRequest{Above: version})
			if err != nil {
				h.directory.unanswered(address)
				continue
			}
			if len(reply.GetValue()) > 0 {
				h.operators.take([]keyedlog.Record{{Key: reply.GetKey(), Value: reply.GetValue()}})
			}
		}
	}
}

// memberName carries the address, so that the owners' list is the directory.
func memberName(name string, address netip.AddrPort, now time.Time) string {
	return name + "@" + address.String() + "@" + strconv.FormatInt(now.UnixMilli(), 36)
}

// Intake is the callers' side.
func (h *JobHost) Intake() *intake.Intake { return h.intake }

// Configuration is the version in force, or nil.
func (h *JobHost) Configuration() *queue.Configuration { return h.config() }

func (h *JobHost) config() *queue.Configuration { return h.operators.config.Load() }

func (h *JobHost) limits() schedule.Limits { return h.settings.Limits }

// mayAct tells whether the log has confirmed the membership lately enough.
func (h *JobHost) mayAct(now time.Time) bool {
	return now.Sub(h.keeper.Confirmed()) < h.settings.Limits.MaxUnconfirmed
}

// inContact tells whether the log answers this entry host.
func (h *JobHost) inContact() bool { return h.now().Sub(h.keeper.Confirmed()) < contactTime }

// Ready tells whether callers should be sent here: without the log no job can be accepted.
func (h *JobHost) Ready() bool { return h.config() != nil && !h.draining.Load() && h.inContact() }

// held gives a partition that this entry host owns and has loaded, or nil.
func (h *JobHost) held(id keyedlog.Partition) *partition {
	h.mu.Lock()
	p := h.partitions[id]
	h.mu.Unlock()
	if p == nil || !p.loaded.Load() || !h.inContact() {
		return nil
	}
	return p
}

// partitionOf is the partition that has a pool's records.
func (h *JobHost) partitionOf(pool string) keyedlog.Partition {
	number := xxhash.Sum64String(pool) % uint64(h.settings.Partitions) //nolint:gosec // Checked to be above 0.
	return keyedlog.Partition{Topic: TopicJobs, Number: int(number)}   //nolint:gosec // Below Partitions.
}

// spawn runs a function beside the others; it tells whether the host is not closed.
func (h *JobHost) spawn(run func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.loops.Go(run)
	return true
}

// Owns tells whether this entry host schedules a pool.
func (h *JobHost) Owns(pool string) bool {
	_, _, ok := h.owned(pool)
	return ok
}

// owned gives the runner of a pool if this entry host owns it and has loaded it.
func (h *JobHost) owned(pool string) (*partition, *poolRunner, bool) {
	h.mu.Lock()
	p := h.partitions[h.partitionOf(pool)]
	h.mu.Unlock()
	if p == nil || !p.loaded.Load() || !h.mayAct(h.now()) {
		return nil, nil, false
	}
	r, ok := p.owns(pool)
	return p, r, ok
}

// refresh hands what was published to the pools.
func (h *JobHost) refresh() {
	for _, p := range h.heldPartitions() {
		p.refresh()
	}
}

// Drain gives the partitions away and tells the balancer to go elsewhere.
func (h *JobHost) Drain(ctx context.Context) {
	h.draining.Store(true)
	err := h.keeper.Leave(ctx)
	h.events.Event("drained", "error", err)
}

// Close stops at once.
func (h *JobHost) Close() {
	h.cancel()
	h.mu.Lock()
	h.closed = true
	partitions, fleet := h.partitions, h.fleet
	h.partitions, h.fleet = map[keyedlog.Partition]*partition{}, nil
	if h.unfollow != nil {
		h.unfollow()
	}
	h.mu.Unlock()
	for _, p := range partitions {
		p.stop()
	}
	if fleet != nil {
		fleet.stop()
	}
	h.server.Close()
	h.peers.Close()
	h.loops.Wait()
}
