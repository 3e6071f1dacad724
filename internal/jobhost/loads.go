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
			Cordoned: h.Cordoned, Vacant: h.Vacant, LossCoreMs: h.Loss, Silent: h.Silent, KnownAgoMs: h.KnownAgo.Milliseconds(),
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
			Runs: int(h.GetRuns()), LongRunning: int(h.GetLongRunning()), Cordoned: h.GetCordoned(), Vacant: h.GetVacant(),
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

// cordonHere keeps new work from a host of a pool that is owned here.
func (h *JobHost) cordonHere(pool, id string, lift bool) (vacant, ok bool) {
	_, r, ok := h.owned(pool)
	if !ok {
		return false, false
	}
	vacant, ok = r.pool.Cordon(worker.ID(id), lift)
	r.signal()
	return vacant, ok
}

// cordon asks the owner of a pool to keep new work from a host.
func (h *JobHost) cordon(ctx context.Context, pool string, id worker.ID, lift bool) bool {
	if _, _, ok := h.owned(pool); ok {
		_, ok := h.cordonHere(pool, string(id), lift)
		return ok
	}
	address, ok := h.directory.ownerOf(ctx, pool)
	if !ok {
		return false
	}
	reply, err := h.peers.Cordon(ctx, address, &wire.CordonRequest{Pool: pool, Host: string(id), Lift: lift})
	return err == nil && reply.GetOwner()
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
