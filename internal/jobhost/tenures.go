package jobhost

import (
	"context"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// Acquire begins the tenure of a partition.
func (h *JobHost) Acquire(id keyedlog.Partition, token int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.partitions[id] = startPartition(h, id, token)
	h.followHosts()
	if id.Number == fleetPartition {
		h.fleet = startFleetOwner(h, token)
	}
}

// followHosts reads the hosts' reports while a partition is owned. They are the most
// that the log carries, and only owners need them. The lock is held.
func (h *JobHost) followHosts() {
	if h.unfollow != nil || h.closed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.unfollow = cancel
	hosts := &follower{
		log: h.platform.Log, events: h.events, partition: h.platform.Published.Hosts(), now: h.now,
		reset: h.hosts.reset, take: h.hosts.take, gather: hostsGather,
	}
	h.loops.Go(func() { hosts.run(ctx) })
}

// Release ends the tenure of a partition.
func (h *JobHost) Release(id keyedlog.Partition) {
	h.mu.Lock()
	p := h.partitions[id]
	delete(h.partitions, id)
	if len(h.partitions) == 0 && h.unfollow != nil {
		h.unfollow()
		h.unfollow = nil
	}
	var fleet *fleetOwner
	if id.Number == fleetPartition {
		fleet, h.fleet = h.fleet, nil
	}
	h.mu.Unlock()
	if p != nil {
		p.stop()
	}
	if fleet != nil {
		fleet.stop()
	}
}

// lostTo begins anew after a later owner was seen to have had the partition.
func (h *JobHost) lostTo(p *partition) {
	h.events.Event("partition-fenced", "partition", p.id.Number, "token", p.token)
	h.spawn(func() { h.keeper.Reacquire(p.id, p.token) })
}
