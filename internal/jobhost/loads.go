package jobhost

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// ownedLoads returns the loads of the pools that this entry host owns. Of one with a later owner it
// can't know what runs on a host. The token of the fleet owner that divides quotas counts as seen; 0 if
// none does.
func (h *JobHost) ownedLoads(fleetToken int64) []*wire.PoolLoad {
	now := h.now()
	if !h.mayAct(now) {
		return nil
	}
	var all []*wire.PoolLoad
	for _, p := range h.ownedPartitions() {
		if !p.loaded.Load() {
			continue
		}
		for _, r := range p.runners() {
			if !r.pool.Fenced() {
				all = append(all, loadToProto(r.pool.FleetLoad(fleetToken, now)))
			}
		}
	}
	return all
}

func loadToProto(load schedule.Load) *wire.PoolLoad {
	m := &wire.PoolLoad{
		Pool: load.Pool, WantedCpu: load.Demand.CPU, WantedMemoryMb: load.Demand.MemoryMB, WantedAccelerators: load.Demand.Accelerators,
		LongRunningCpu: load.LongRunning.CPU, LongRunningMemoryMb: load.LongRunning.MemoryMB,
		SpreadHosts: int32(load.SpreadHosts), //nolint:gosec // At most the tasks of a job.
		Token:       int64(load.Token), AllotFleetToken: load.FleetToken, AllotSequence: load.AllotSequence,
		Organisations: organisationsToProto(load.Organisations),
	}
	for id, h := range load.Hosts {
		host := &wire.HostLoad{
			Id: string(id), Runs: int32(h.Runs), LongRunning: int32(h.LongRunning), //nolint:gosec // Bounded by a host's capacity.
			Use: wire.HostUse(h.Use), Vacant: h.Vacant, LossCoreMs: h.Loss, Silent: h.Unresponsive, KnownAgoMs: h.LastSeenAge.Milliseconds(),
		}
		if h.Unresponsive {
			host.KnownMs = h.LastSeen.UnixMilli()
		}
		m.Hosts = append(m.Hosts, host)
	}
	return m
}

func loadFromProto(m *wire.PoolLoad) *schedule.Load {
	load := &schedule.Load{
		Pool:        m.GetPool(),
		Demand:      worker.Resources{CPU: m.GetWantedCpu(), MemoryMB: m.GetWantedMemoryMb(), Accelerators: m.GetWantedAccelerators()},
		LongRunning: worker.Resources{CPU: m.GetLongRunningCpu(), MemoryMB: m.GetLongRunningMemoryMb()},
		Token:       worker.FencingToken(m.GetToken()), FleetToken: m.GetAllotFleetToken(), AllotSequence: m.GetAllotSequence(),
		Organisations: organisationsFromProto(m.GetOrganisations()),
		SpreadHosts:   int(m.GetSpreadHosts()), Hosts: make(map[worker.ID]schedule.HostLoad, len(m.GetHosts())),
	}
	for _, h := range m.GetHosts() {
		load.Hosts[worker.ID(h.GetId())] = schedule.HostLoad{
			Runs: int(h.GetRuns()), LongRunning: int(h.GetLongRunning()), Use: schedule.Use(h.GetUse()), Vacant: h.GetVacant(),
			Loss: h.GetLossCoreMs(), Unresponsive: h.GetSilent(), LastSeenAge: time.Duration(h.GetKnownAgoMs()) * time.Millisecond,
			LastSeen: time.UnixMilli(h.GetKnownMs()),
		}
	}
	return load
}

// allLoads collects the loads of the configured pools from their owners, all at the same
// time; pools whose owner does not answer are missing. A fleet token other than 0 is that of the
// sender, who divides quotas.
func (h *JobHost) allLoads(ctx context.Context, config *queue.Configuration, fleetToken int64) map[string]*schedule.Load {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	found := map[string]*schedule.Load{}
	for _, m := range h.ownedLoads(fleetToken) {
		found[m.GetPool()] = loadFromProto(m)
	}
	replies := make(chan *wire.LoadReply)
	owners := h.poolOwners(ctx, config)
	for _, address := range owners {
		go func() {
			reply, err := h.peers.Load(ctx, address, &wire.LoadRequest{FleetToken: fleetToken})
			if err != nil {
				h.directory.invalidate()
				h.events.Event("peer-silent", "peer", address, "call", "load", "error", err)
			}
			replies <- reply
		}()
	}
	for range owners {
		for _, m := range (<-replies).GetPools() {
			found[m.GetPool()] = loadFromProto(m)
		}
	}
	return found
}

// poolOwners returns the addresses of the other entry hosts that own a configured pool. One
// that did not answer is asked again: it may be busy, and its pool short of hosts.
func (h *JobHost) poolOwners(ctx context.Context, config *queue.Configuration) []netip.AddrPort {
	var addresses []netip.AddrPort
	for n := range config.Pools {
		if config.Pools[n].Spare {
			continue
		}
		address, ok := h.directory.ownerOf(ctx, config.Pools[n].Name)
		if ok && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// loadsTimeout bounds the collection of loads from all owners.
const loadsTimeout = time.Second

// restrictOwned sets what hosts may be used for, and reports whether this entry host owns
// the pool and knows all the hosts.
func (h *JobHost) restrictOwned(pool string, hosts []worker.ID, use schedule.Use) bool {
	r, ok := h.ownedPool(pool)
	if !ok || r.pool.Fenced() {
		return false
	}
	ok = r.pool.Restrict(hosts, use, h.now())
	r.signal()
	return ok
}

// restrict has the owner of a pool set what hosts may be used for, and reports whether it
// has.
func (h *JobHost) restrict(ctx context.Context, pool string, hosts []worker.ID, use schedule.Use) bool {
	if _, ok := h.ownedPool(pool); ok {
		return h.restrictOwned(pool, hosts, use)
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

// markGoneOwned marks a worker as ended that was last seen at lastSeen, and returns false if this
// entry host does not own the pool. A worker that was replaced can't come back.
func (h *JobHost) markGoneOwned(pool string, id worker.ID, lastSeen time.Time, replaced bool) bool {
	r, ok := h.ownedPool(pool)
	if !ok || r.pool.Fenced() {
		return false
	}
	if replaced {
		r.pool.WorkerReplaced(id, lastSeen, h.now())
	} else {
		r.pool.WorkerEnded(id, lastSeen, h.now())
	}
	r.signal()
	return true
}

// reportGone reports to the owner of a pool that a worker has ended. The report may arrive late, so
// that it says by which sign of life it was judged.
func (h *JobHost) reportGone(ctx context.Context, pool string, id worker.ID, lastSeen time.Time, replaced bool) {
	if h.markGoneOwned(pool, id, lastSeen, replaced) {
		return
	}
	address, ok := h.directory.ownerOf(ctx, pool)
	if !ok {
		return
	}
	// A lost report is repeated with the next list of machines.
	_, _ = h.peers.Gone(ctx, address, &wire.GoneRequest{Pool: pool, Host: string(id), KnownMs: lastSeen.UnixMilli(), Replaced: replaced})
}
