package jobhost

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// ownersMaxAge is how long a list of owners is used before it is read again.
	ownersMaxAge = time.Second
	// ownersTimeout bounds one reading of the list of owners.
	ownersTimeout = 700 * time.Millisecond
	// ownersRetryInterval is the minimum time between two readings, so that requests to an
	// unavailable owner do not each read the list from the log.
	ownersRetryInterval = 150 * time.Millisecond
)

// directory finds the owners of pools in the log's list of owners, and queries them.
type directory struct {
	host   *JobHost
	member string

	mu     sync.Mutex
	owners map[keyedlog.Partition]string
	// unresponsiveUntil holds the peers that did not answer, with the time until which no
	// further request is sent to them.
	unresponsiveUntil map[netip.AddrPort]time.Time
	// readAt is when the list was last read, zero if it is to be read again; triedAt is
	// when the last attempt began.
	readAt, triedAt time.Time
	// listedAt is when the list was last read, even if it is to be read again.
	listedAt time.Time
}

func newDirectory(host *JobHost, member string) *directory {
	return &directory{host: host, member: member, owners: map[keyedlog.Partition]string{}, unresponsiveUntil: map[netip.AddrPort]time.Time{}}
}

// peerBackoff is how long no request is sent to a peer that did not answer.
const peerBackoff = time.Second

// markUnresponsive makes unreachable return true for a peer until peerBackoff has passed,
// and has the list of owners read again.
func (d *directory) markUnresponsive(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsiveUntil[address] = d.host.now().Add(peerBackoff)
	d.readAt = time.Time{}
}

// unresponsive reports whether a peer failed to answer within the last peerBackoff.
func (d *directory) unresponsive(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.host.now().Before(d.unresponsiveUntil[address])
}

// refresh reads the list of owners if it is at least maxAge old.
func (d *directory) refresh(ctx context.Context, maxAge time.Duration) {
	now := d.host.now()
	d.mu.Lock()
	if now.Sub(d.readAt) < maxAge || now.Sub(d.triedAt) < ownersRetryInterval {
		d.mu.Unlock()
		return
	}
	d.triedAt = now
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	rows, err := d.host.platform.Log.Owners(ctx, groupName)
	if err != nil {
		return
	}
	answeredAt := d.host.now()
	d.host.contact.answeredAfter(answeredAt, answeredAt.Sub(now))
	owners := make(map[keyedlog.Partition]string, len(rows))
	for _, row := range rows {
		owners[row.Partition] = row.Member
	}
	d.mu.Lock()
	d.owners, d.readAt, d.listedAt = owners, now, now
	d.mu.Unlock()
}

// ownersView returns the owners of the last list, for the candidacy.
func (d *directory) ownersView() candidacy.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := candidacy.View{ReadAt: d.listedAt, Partitions: d.host.settings.Partitions}
	members := map[string]struct{}{}
	for _, member := range d.owners {
		if _, ok := members[member]; !ok && member != d.member {
			members[member] = struct{}{}
			view.Owners = append(view.Owners, ownerFromMember(member))
		}
	}
	view.Unowned = max(0, view.Partitions-len(d.owners))
	return view
}

// ownerOf returns the peer address of a pool's owner, if that is another entry host.
func (d *directory) ownerOf(ctx context.Context, pool string) (netip.AddrPort, bool) {
	return d.ownerOfPartition(ctx, d.host.partitionOf(pool))
}

// ownerOfPartition returns the peer address of a partition's owner, if that is another entry host.
func (d *directory) ownerOfPartition(ctx context.Context, partition keyedlog.Partition) (netip.AddrPort, bool) {
	d.refresh(ctx, ownersMaxAge)
	d.mu.Lock()
	member, ok := d.owners[partition]
	d.mu.Unlock()
	if !ok || member == d.member {
		return netip.AddrPort{}, false
	}
	return addressOf(member)
}

// invalidate makes the next refresh read the list of owners again.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = time.Time{}
}

// ownerAddresses returns the addresses of all other entry hosts that own a partition.
func (d *directory) ownerAddresses(ctx context.Context) []netip.AddrPort {
	d.refresh(ctx, ownersMaxAge)
	return d.knownOwners()
}

// knownOwners returns the same by the last list, however old that is.
func (d *directory) knownOwners() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []netip.AddrPort
	for _, member := range d.owners {
		if member == d.member {
			continue
		}
		if address, ok := addressOf(member); ok && !slices.Contains(found, address) {
			found = append(found, address)
		}
	}
	return found
}

// Partitions returns the numbers of all partitions, that of the pool first.
func (d *directory) Partitions(pool string) []int {
	first := d.host.partitionOf(pool).Number
	all := []int{first}
	for n := range d.host.settings.Partitions {
		if n != first {
			all = append(all, n)
		}
	}
	return all
}

// State returns a job's status from the owner of a partition. The first bool is false if there
// is no such job, the second if the owner could not tell.
func (d *directory) State(ctx context.Context, partition int, id job.ID) (intake.Status, bool, bool) {
	return d.statusIn(ctx, partition, id, false)
}

// directStatus is the same without the partitions to which that one has forwarded the job.
func (d *directory) directStatus(ctx context.Context, partition int, id job.ID) (intake.Status, bool, bool) {
	return d.statusIn(ctx, partition, id, true)
}

func (d *directory) statusIn(ctx context.Context, partition int, id job.ID, direct bool) (intake.Status, bool, bool) {
	if p, ok := d.host.actingPartition(partition); ok {
		return p.status(ctx, id, direct)
	}
	request := &wire.JobStateRequest{Id: string(id), Partition: int32(partition), Direct: direct} //nolint:gosec // Below Partitions.
	reply, err := askOwner(ctx, d, partition, d.host.peers.State, request)
	if err != nil {
		return intake.Status{}, false, false
	}
	return intake.Status{State: job.State(reply.GetState()), Organisation: reply.GetOrganisation()}, reply.GetState() != "", true
}

// releaseQueue has the owner of a partition release a queue.
func (d *directory) releaseQueue(ctx context.Context, partition int, intake *wire.QueueIntake) (*wire.ReleaseQueueReply, error) {
	if p, ok := d.host.actingPartition(partition); ok {
		return p.releaseQueue(ctx, intake)
	}
	request := &wire.ReleaseQueueRequest{Partition: int32(partition), Intake: intake} //nolint:gosec // Below Partitions.
	return askOwner(ctx, d, partition, d.host.peers.ReleaseQueue, request)
}

// findJobs asks the owner of a partition which of some jobs it has taken.
func (d *directory) findJobs(ctx context.Context, partition int, request *wire.FindJobsRequest) (*wire.FindJobsReply, error) {
	if p, ok := d.host.actingPartition(partition); ok {
		return p.findJobs(ctx, request.GetQueueAddress(), request.GetIds())
	}
	asked := &wire.FindJobsRequest{Partition: int32(partition), QueueAddress: request.GetQueueAddress(), Ids: request.GetIds()} //nolint:gosec // Below Partitions.
	return askOwner(ctx, d, partition, d.host.peers.FindJobs, asked)
}

// ownerReply says whether the replier owns the partition that it was asked about.
type ownerReply interface{ GetOwner() bool }

var errNotOwner = errors.New("the owner of the partition is unknown or changes; try again")

// askOwner sends a request to the owner of a partition, which is another entry host.
func askOwner[Q any, A ownerReply](ctx context.Context, d *directory, partition int, call func(context.Context, netip.AddrPort, Q) (A, error), request Q) (A, error) {
	var none A
	address, ok := d.ownerOfPartition(ctx, jobsPartition(partition))
	if !ok || d.unresponsive(address) {
		d.invalidate()
		return none, errors.WithStack(errNotOwner)
	}
	reply, err := call(ctx, address, request)
	if err != nil {
		d.markUnresponsive(address)
		return none, err
	}
	if !reply.GetOwner() {
		d.invalidate()
		return none, errors.WithStack(errNotOwner)
	}
	return reply, nil
}

// Waiting returns the number of a queue's waiting jobs. Jobs that were accepted before the queue went
// to its pool may wait in other partitions; if the pool's own can't exclude that, all are asked.
func (d *directory) Waiting(ctx context.Context, pool, queue string) (int, bool) {
	owned := d.host.waitingInOwned(queue)
	if owned.GetComplete() {
		return int(owned.GetWaiting()), true
	}
	if address, ok := d.ownerOf(ctx, pool); ok && !d.unresponsive(address) {
		reply, err := d.host.peers.Waiting(ctx, address, &wire.WaitingRequest{QueueAddress: queue})
		if err != nil {
			d.markUnresponsive(address)
			return 0, false
		}
		if reply.GetComplete() {
			return int(reply.GetWaiting()), true
		}
	}
	return d.waitingInAll(ctx, owned, pool, queue)
}

// waitingInAll returns the number of a queue's waiting jobs in all partitions. If the queue has not
// moved as far as this entry host knows, its pool's partition is enough.
func (d *directory) waitingInAll(ctx context.Context, owned *wire.WaitingReply, pool, queue string) (int, bool) {
	total := int(owned.GetWaiting())
	answered := map[int32]struct{}{}
	for _, n := range owned.GetPartitions() {
		answered[n] = struct{}{}
	}
	peers := slices.DeleteFunc(d.ownerAddresses(ctx), d.unresponsive)
	replies := make(chan *wire.WaitingReply, len(peers))
	for _, address := range peers {
		go func() {
			reply, err := d.host.peers.Waiting(ctx, address, &wire.WaitingRequest{QueueAddress: queue})
			if err != nil {
				d.markUnresponsive(address)
				d.host.events.Event("peer-silent", "peer", address, "call", "waiting", "error", err)
			}
			replies <- reply
		}()
	}
	for range peers {
		reply := <-replies
		total += int(reply.GetWaiting())
		for _, n := range reply.GetPartitions() {
			answered[n] = struct{}{}
		}
	}
	if len(answered) == d.host.settings.Partitions {
		return total, true
	}
	d.invalidate()
	_, ok := answered[int32(d.host.partitionOf(pool).Number)] //nolint:gosec // Below Partitions.
	return total, ok && !d.host.operators.hasMoved(queue)
}

// waitingInOwned returns the number of a queue's waiting jobs in the owned partitions.
func (h *JobHost) waitingInOwned(queue string) *wire.WaitingReply {
	reply := &wire.WaitingReply{}
	for n := range h.settings.Partitions {
		if p, ok := h.actingPartition(n); ok {
			waiting, complete := p.waiting(queue)
			reply.Waiting += int32(waiting) //nolint:gosec // Far below 2^31 jobs.
			reply.Complete = reply.GetComplete() || complete
			reply.Partitions = append(reply.Partitions, int32(n)) //nolint:gosec // Below Partitions.
		}
	}
	return reply
}
