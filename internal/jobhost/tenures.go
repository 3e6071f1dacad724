package jobhost

import (
	"context"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
)

// Acquire begins the tenure of a partition with its fencing token.
func (h *JobHost) Acquire(id keyedlog.Partition, token int64) {
	if id.Topic != TopicJobs || id.Number < 0 || id.Number >= h.settings.Partitions {
		h.events.Event("partition-unknown", "topic", id.Topic, "partition", id.Number, "partitions", h.settings.Partitions)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.partitions[id] = startPartition(h, id, token)
	h.followHosts()
	if id.Number == fleetOwnerPartition {
		h.fleet = startFleetOwner(h, token)
	}
}

// followHosts starts reading the hosts' reports, unless that is running. They are read only
// while a partition is owned, since only owners need them and they are most of the log's
// traffic. The lock is held.
func (h *JobHost) followHosts() {
	if h.unfollow != nil || h.closed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.unfollow = cancel
	hosts := &follower{
		log: h.platform.Log, events: h.events, partition: h.platform.Records.WorkerPartition(), now: h.now,
		reset: h.hosts.reset, apply: h.hosts.apply, gather: hostsGatherTime, onCurrent: h.reports.ReportsRead, onRefused: h.reports.LogRefused,
	}
	h.loops.Go(func() { hosts.run(ctx) })
}

// Release ends the tenure of a partition; no order is sent after it returns.
func (h *JobHost) Release(id keyedlog.Partition) {
	h.mu.Lock()
	p := h.partitions[id]
	delete(h.partitions, id)
	if len(h.partitions) == 0 && h.unfollow != nil {
		h.unfollow()
		h.unfollow = nil
	}
	var fleet *fleetOwner
	if id.Number == fleetOwnerPartition {
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

// reacquire requests a new tenure of a partition because a later owner of it was seen.
func (h *JobHost) reacquire(p *partition) {
	h.events.Event("partition-fenced", "partition", p.id.Number, "token", p.token)
	h.spawn(func() { h.keeper.Reacquire(p.id, p.token) })
}
