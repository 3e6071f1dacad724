package jobhost

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/candidacy"
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
	d.refresh(ctx, ownersMaxAge)
	d.mu.Lock()
	member, ok := d.owners[d.host.partitionOf(pool)]
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

// State returns a job's state from the owner of its pool. The first bool is false if there
// is no such job, the second if the owner could not tell.
func (d *directory) State(ctx context.Context, pool string, id job.ID) (job.State, bool, bool) {
	if p, r, ok := d.host.ownedPool(pool); ok {
		return p.state(ctx, r, id)
	}
	address, ok := d.ownerOf(ctx, pool)
	if !ok || d.unresponsive(address) {
		d.invalidate()
		return "", false, false
	}
	reply, err := d.host.peers.State(ctx, address, &wire.JobStateRequest{Id: string(id), Pool: pool})
	if err != nil {
		d.markUnresponsive(address)
	}
	if err != nil || !reply.GetOwner() {
		d.invalidate()
		return "", false, false
	}
	return job.State(reply.GetState()), reply.GetState() != "", true
}

// Waiting returns the number of a queue's waiting jobs from the owner of its pool.
func (d *directory) Waiting(ctx context.Context, pool, queue string) (int, bool) {
	if _, r, ok := d.host.ownedPool(pool); ok {
		return r.pool.Waiting(queue), true
	}
	address, ok := d.ownerOf(ctx, pool)
	if !ok {
		d.invalidate()
		return 0, false
	}
	reply, err := d.host.peers.Waiting(ctx, address, &wire.WaitingRequest{Queue: queue, Pool: pool})
	if err != nil || !reply.GetOwner() {
		d.invalidate()
		return 0, false
	}
	return int(reply.GetWaiting()), true
}
