package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// loads gives the demand of the pools that are owned here.
func (h *JobHost) loads() []*wire.PoolLoad {
	now := h.now()
	if !h.mayAct(now) {
		return nil
	}
	var all []*wire.PoolLoad
	for _, p := range h.heldPartitions() {
		if !p.loaded.Load() {
			continue
		}
		for _, r := range p.runners() {
			all = append(all, loadMessage(r.pool.Load(now)))
		}
	}
	return all
}

func loadMessage(load schedule.Load) *wire.PoolLoad {
	m := &wire.PoolLoad{
		Pool: load.Pool, WantedCpu: load.Wanted.CPU, WantedMemoryMb: load.Wanted.MemoryMB, WantedAccelerators: load.Wanted.Accelerators,
		LongRunningCpu: load.LongRunning.CPU, LongRunningMemoryMb: load.LongRunning.MemoryMB,
		SpreadHosts: int32(load.SpreadHosts), //nolint:gosec // At most the tasks of a job.
	}
	for id, h := range load.Hosts {
		m.Hosts = append(m.Hosts, &wire.HostLoad{
			Id: string(id), Runs: int32(h.Runs), LongRunning: int32(h.LongRunning), //nolint:gosec // Bounded by a host's room.
			Use: wire.HostUse(h.Use), Vacant: h.Vacant, LossCoreMs: h.Loss, Silent: h.Silent, KnownAgoMs: h.KnownAgo.Milliseconds(),
		})
	}
	return m
}

func loadOf(m *wire.PoolLoad) *schedule.Load {
	load := &schedule.Load{
		Pool:        m.GetPool(),
		Wanted:      worker.Resources{CPU: m.GetWantedCpu(), MemoryMB: m.GetWantedMemoryMb(), Accelerators: m.GetWantedAccelerators()},
		LongRunning: worker.Resources{CPU: m.GetLongRunningCpu(), MemoryMB: m.GetLongRunningMemoryMb()},
		SpreadHosts: int(m.GetSpreadHosts()), Hosts: make(map[worker.ID]schedule.HostLoad, len(m.GetHosts())),
	}
	for _, h := range m.GetHosts() {
		load.Hosts[worker.ID(h.GetId())] = schedule.HostLoad{
			Runs: int(h.GetRuns()), LongRunning: int(h.GetLongRunning()), Use: schedule.Use(h.GetUse()), Vacant: h.GetVacant(),
			Loss: h.GetLossCoreMs(), Silent: h.GetSilent(), KnownAgo: time.Duration(h.GetKnownAgoMs()) * time.Millisecond,
		}
	}
	return load
}

// allLoads asks all owners for the demand of their pools.
func (h *JobHost) allLoads(ctx context.Context) map[string]*schedule.Load {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	found := map[string]*schedule.Load{}
	for _, m := range h.loads() {
		found[m.GetPool()] = loadOf(m)
	}
	for _, address := range h.directory.members(ctx) {
		reply, err := h.peers.Load(ctx, address)
		if err != nil {
			h.directory.failed()
			continue
		}
		for _, m := range reply.GetPools() {
			found[m.GetPool()] = loadOf(m)
		}
	}
	return found
}

// loadsTimeout bounds the asking of all owners.
const loadsTimeout = time.Second

// restrictHere sets what hosts of a pool that is owned here may be used for.
func (h *JobHost) restrictHere(pool string, hosts []worker.ID, use schedule.Use) bool {
	_, r, ok := h.owned(pool)
	if !ok {
		return false
	}
	ok = r.pool.Restrict(hosts, use)
	r.signal()
	return ok
}

// restrict tells the owner of a pool what hosts may be used for.
func (h *JobHost) restrict(ctx context.Context, pool string, hosts []worker.ID, use schedule.Use) bool {
	if _, _, ok := h.owned(pool); ok {
		return h.restrictHere(pool, hosts, use)
	}
	address, ok := h.directory.ownerOf(ctx, pool)
	if !ok {
		return false
	}
	request := &wire.RestrictRequest{Pool: pool, Use: wire.HostUse(use)} //nolint:gosec // One of three.
	for _, id := range hosts {
		request.Hosts = append(request.Hosts, string(id))
	}
	reply, err := h.peers.Restrict(ctx, address, request)
	return err == nil && reply.GetDone()
}

// goneHere takes that a worker of a pool that is owned here has ended.
func (h *JobHost) goneHere(pool, id string) bool {
	_, r, ok := h.owned(pool)
	if !ok {
		return false
	}
	r.pool.Gone(worker.ID(id), h.now())
	r.signal()
	return true
}

// gone tells the owner of a pool that a worker has ended.
func (h *JobHost) gone(ctx context.Context, pool string, id worker.ID) {
	if h.goneHere(pool, string(id)) {
		return
	}
	address, ok := h.directory.ownerOf(ctx, pool)
	if !ok {
		return
	}
	// If it is lost, the next list of machines shows the same.
	_, _ = h.peers.Gone(ctx, address, &wire.GoneRequest{Pool: pool, Host: string(id)})
}
