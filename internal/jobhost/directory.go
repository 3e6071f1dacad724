package jobhost

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

const (
	// ownersFresh is how long a list of owners is used without asking again.
	ownersFresh = time.Second
	// ownersTimeout bounds the question.
	ownersTimeout = 700 * time.Millisecond
	// ownersRetry is the least time between two questions, so that an owner that is
	// away does not make every request ask the log.
	ownersRetry = 150 * time.Millisecond
)

// directory finds the owners of pools and asks them.
type directory struct {
	host   *JobHost
	member string

	mu     sync.Mutex
	owners map[keyedlog.Partition]string
	// silent are peers that did not answer, with the time until which they are spared.
	silent map[netip.AddrPort]time.Time
	// readAt is when the list was read, triedAt when that was last tried.
	readAt, triedAt time.Time
}

func newDirectory(host *JobHost, member string) *directory {
	return &directory{host: host, member: member, owners: map[keyedlog.Partition]string{}, silent: map[netip.AddrPort]time.Time{}}
}

// silentPause is how long a peer that did not answer is spared.
const silentPause = time.Second

// unanswered notes that a peer did not answer.
func (d *directory) unanswered(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[address] = d.host.now().Add(silentPause)
	d.readAt = time.Time{}
}

// unreachable tells whether a peer did not answer lately.
func (d *directory) unreachable(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.host.now().Before(d.silent[address])
}

// addressOf takes the address out of a member's name.
func addressOf(member string) (netip.AddrPort, bool) {
	parts := strings.Split(member, "@")
	if len(parts) != 3 {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(parts[1])
	return address, err == nil
}

// refresh reads the list of owners if it is older than fresh.
func (d *directory) refresh(ctx context.Context, fresh time.Duration) {
	now := d.host.now()
	d.mu.Lock()
	if now.Sub(d.readAt) < fresh || now.Sub(d.triedAt) < ownersRetry {
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
	owners := make(map[keyedlog.Partition]string, len(rows))
	for _, row := range rows {
		owners[row.Partition] = row.Member
	}
	d.mu.Lock()
	d.owners, d.readAt = owners, now
	d.mu.Unlock()
}

// ownerOf gives the address of a pool's owner, which is another entry host.
func (d *directory) ownerOf(ctx context.Context, pool string) (netip.AddrPort, bool) {
	d.refresh(ctx, ownersFresh)
	d.mu.Lock()
	member, ok := d.owners[d.host.partitionOf(pool)]
	d.mu.Unlock()
	if !ok || member == d.member {
		return netip.AddrPort{}, false
	}
	return addressOf(member)
}

// failed makes the next question read the list of owners again.
func (d *directory) failed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readAt = time.Time{}
}

// members lists the addresses of all other members that own something.
func (d *directory) members(ctx context.Context) []netip.AddrPort {
	d.refresh(ctx, ownersFresh)
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

// State asks the owner of a pool how a job stands.
func (d *directory) State(ctx context.Context, pool string, id job.ID) (job.State, bool, bool) {
	if p, r, ok := d.host.owned(pool); ok {
		return p.state(ctx, r, id)
	}
	address, ok := d.ownerOf(ctx, pool)
	if !ok || d.unreachable(address) {
		d.failed()
		return "", false, false
	}
	reply, err := d.host.peers.State(ctx, address, &wire.JobStateRequest{Id: string(id), Pool: pool})
	if err != nil {
		d.unanswered(address)
	}
	if err != nil || !reply.GetOwner() {
		d.failed()
		return "", false, false
	}
	return job.State(reply.GetState()), reply.GetState() != "", true
}

// Waiting asks the owner of a pool how many jobs of a queue wait.
func (d *directory) Waiting(ctx context.Context, pool, queue string) (int, bool) {
	if _, r, ok := d.host.owned(pool); ok {
		return r.pool.Waiting(queue), true
	}
	address, ok := d.ownerOf(ctx, pool)
	if !ok {
		d.failed()
		return 0, false
	}
	reply, err := d.host.peers.Waiting(ctx, address, &wire.WaitingRequest{Queue: queue, Pool: pool})
	if err != nil || !reply.GetOwner() {
		d.failed()
		return 0, false
	}
	return int(reply.GetWaiting()), true
}
