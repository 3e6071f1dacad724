package jobhost

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/coordination/owner"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
	"github.com/hornbeammast/hornbeammast/internal/transport/peer"
)

const (
	// TopicJobs holds the records of jobs, partitioned by pool. The log compacts
	// topics whose name begins with "keyed.": it keeps the newest record of each key.
	TopicJobs = "keyed.jobs"
	// TopicFleet holds the state that the owner of the machines leaves to its successors.
	TopicFleet = "keyed.fleet"
	// fleetOwnerPartition is the TopicJobs partition whose owner also moves and maintains
	// machines.
	fleetOwnerPartition = 0
	// hostsGatherTime is how long reports of hosts are collected before the next read, since
	// they arrive continuously.
	hostsGatherTime = 250 * time.Millisecond
	// idleOwnersMaxAge is the age at which the list of owners is read again even if no
	// request needs it.
	idleOwnersMaxAge = 5 * time.Second
	// groupName is the log's consumer group that all entry hosts join.
	groupName = "entry-hosts"
)

// Settings configures a job host.
type Settings struct {
	Name        string
	DataCentre  string
	PeerAddress netip.AddrPort
	// Partitions is how many partitions the platform gives a topic.
	Partitions int
	// LogLimits are the log's limits on appends.
	LogLimits keyedlog.Limits
	// GroupTTL is how long a member that does not renew keeps its partitions.
	GroupTTL time.Duration
	// VersionTime is how long after its publication a version of the configuration has to be in force.
	VersionTime time.Duration
	// Resources is what the process can use, Losses what the site must bear at once.
	Resources candidacy.Capacity
	Losses    candidacy.Losses
	Limits    schedule.Limits
	Capacity  Capacity
	// AdmissionControl has owners refuse jobs that could not end in time.
	AdmissionControl bool
	// PoolOptions configure the pools.
	PoolOptions []schedule.Option
}

// JobHost is a running entry host for jobs.
type JobHost struct {
	settings Settings
	platform Platform
	events   Events
	now      func() time.Time
	metrics  *metrics

	operators *operatorsView
	versions  *peerVersions
	hosts     *hostsView
	reports   *schedule.ReportFeed
	epochs    schedule.Epochs
	orders    orderGate
	keeper    *owner.Keeper
	candidacy *candidacyLoop
	contact   contact
	directory *directory
	intake    *intake.Intake
	submitter *submitter
	network   peer.Network
	peers     *peer.JobClient
	server    *peer.JobServer

	cancel   context.CancelFunc
	loops    sync.WaitGroup
	draining atomic.Bool

	mu         sync.Mutex
	partitions map[keyedlog.Partition]*partition
	fleet      *fleetOwner
	// closed is set by Close; no tenure or goroutine is started afterwards.
	closed bool
	// unfollow stops reading the hosts' reports; nil while no partition is owned.
	unfollow context.CancelFunc
}

// Option configures a JobHost before it starts.
type Option func(*JobHost)

// WithNetwork replaces TCP as the network between the job host and its peers.
func WithNetwork(network peer.Network) Option { return func(h *JobHost) { h.network = network } }

// Start starts a job host on a platform. The clock now must keep advancing while the
// machine is suspended.
func Start(s Settings, platform Platform, events Events, now func() time.Time, opts ...Option) (*JobHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &JobHost{
		settings: s, platform: platform, events: events, now: now, metrics: newMetrics(), cancel: cancel,
		partitions: map[keyedlog.Partition]*partition{}, network: peer.TCP{}, orders: newOrderGate(),
	}
	for _, apply := range opts {
		apply(h)
	}
	server, err := peer.ListenJobs(h.network, s.PeerAddress, peerHandler{h})
	if err != nil {
		cancel()
		return nil, err
	}
	h.server = server
	h.peers = peer.NewJobClient(h.network)
	h.operators = &operatorsView{codec: platform.Records, events: events, onChange: h.refresh, waves: map[int64]machine.Wave{}, pools: map[string]map[string]struct{}{}}
	h.versions = newPeerVersions(h)
	h.hosts = &hostsView{codec: platform.Records, events: events, onChange: h.refresh, hosts: map[worker.ID]worker.Report{}, unreadable: map[worker.ID]struct{}{}}
	h.reports = schedule.NewReportFeed(s.Limits)
	member := memberName(&s, server.Address(), now())
	h.candidacy = newCandidacyLoop(h, now())
	h.directory = newDirectory(h, member)
	h.keeper = owner.New(platform.Log, h, events, now, keyedlog.JoinRequest{
		Group: groupName, Member: member, Topics: []string{TopicJobs}, TTL: s.GroupTTL,
	})
	h.submitter = newSubmitter(h)
	h.intake = intake.New(h.submitter, h.directory, events, now)
	h.startLoops(ctx)
	events.Event("job-host-started", "name", s.Name, "data-centre", s.DataCentre, "member", member, "peer", server.Address())
	return h, nil
}

func (h *JobHost) startLoops(ctx context.Context) {
	operators := &follower{
		log: h.platform.Log, events: h.events, partition: h.platform.Records.OperatorPartition(), now: h.now,
		apply: h.operators.apply, onAnswer: h.operatorsAnswered, onRefused: h.reports.LogRefused, adaptsTimeout: true,
		onComplete: h.versions.confirm,
	}
	h.versions.position = &operators.position
	h.loops.Go(func() { operators.run(ctx) })
	h.loops.Go(func() { h.versions.run(ctx) })
	h.loops.Go(func() { h.keeper.Run(ctx) })
	h.loops.Go(func() { (&workReporter{host: h}).run(ctx) })
	h.loops.Go(func() { h.candidacy.run(ctx) })
}

func (h *JobHost) operatorsAnswered(sent time.Time) {
	h.contact.answered(h.now())
	h.versions.answered(h.now())
	h.reports.LogAnswered(sent)
}

// Intake returns the intake, which serves callers' requests about jobs.
func (h *JobHost) Intake() *intake.Intake { return h.intake }

func (h *JobHost) limits() schedule.Limits { return h.settings.Limits }

// mayAct reports whether the log confirmed the membership within MaxUnconfirmed, so that
// orders may be sent.
func (h *JobHost) mayAct(now time.Time) bool {
	return now.Sub(h.keeper.Confirmed()) < h.settings.Limits.MaxUnconfirmed
}

// Ready reports whether callers should be sent here. Without the log no job can be accepted.
func (h *JobHost) Ready() bool { return h.config() != nil && !h.draining.Load() && h.inContact() }

// ownedPartition returns a partition that this entry host owns and has loaded; nil if it
// does not, or if the log is out of contact.
func (h *JobHost) ownedPartition(id keyedlog.Partition) *partition {
	h.mu.Lock()
	p := h.partitions[id]
	h.mu.Unlock()
	if p == nil || !p.loaded.Load() || !h.inContact() {
		return nil
	}
	return p
}

// partitionOf returns the partition that holds a pool's records.
func (h *JobHost) partitionOf(pool string) keyedlog.Partition {
	number := xxhash.Sum64String(pool) % uint64(h.settings.Partitions) //nolint:gosec // Checked to be above 0.
	return jobsPartition(int(number))                                  //nolint:gosec // Below Partitions.
}

// spawn runs a function in a goroutine that Close waits for; it returns false if the host
// is closed already.
func (h *JobHost) spawn(run func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.loops.Go(run)
	return true
}

// Owns reports whether this entry host schedules a pool and its membership was confirmed
// recently enough to act (mayAct).
func (h *JobHost) Owns(pool string) bool {
	_, ok := h.ownedPool(pool)
	return ok
}

// ownedPool returns a pool's runner if this entry host owns and has loaded
// its partition, and its membership was confirmed recently enough to act (mayAct).
func (h *JobHost) ownedPool(pool string) (*poolRunner, bool) {
	p, ok := h.actingPartition(h.partitionOf(pool).Number)
	if !ok {
		return nil, false
	}
	return p.loadedRunner(pool)
}

// actingPartition returns a partition of TopicJobs if this entry host owns and has loaded it, and
// its membership was confirmed recently enough to act (mayAct).
func (h *JobHost) actingPartition(number int) (*partition, bool) {
	h.mu.Lock()
	p := h.partitions[jobsPartition(number)]
	h.mu.Unlock()
	return p, p != nil && p.loaded.Load() && h.mayAct(h.now())
}

func jobsPartition(number int) keyedlog.Partition {
	return keyedlog.Partition{Topic: TopicJobs, Number: number}
}

// refresh applies the published configuration and host reports to the owned pools.
func (h *JobHost) refresh() {
	for _, p := range h.ownedPartitions() {
		p.refresh()
	}
}

// Drain releases all partitions and makes Ready false, so that load balancers send
// callers to other entry hosts.
func (h *JobHost) Drain(ctx context.Context) {
	h.draining.Store(true)
	err := h.keeper.Leave(ctx)
	h.events.Event("drained", "error", err)
}

// Close stops the host immediately, without leaving the group.
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
