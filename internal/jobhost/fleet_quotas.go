package jobhost

import (
	"context"

	"github.com/hornbeammast/hornbeammast/internal/coordination/quota"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// maxAllotments bounds the allotments that wait for an answer. Further ones are left out: the
	// next load shows that they were not applied.
	maxAllotments = 32
	// allotTimeout bounds one allotment; two divisions later it is of no use.
	allotTimeout = 2 * fleetInterval
)

// quotaDivision is the division of the quotas in one tenure of the fleet owner.
type quotaDivision struct {
	divider *quota.Divider
	// slots has room for as many allotments as may wait for an answer.
	slots chan struct{}
	// supersededLogged is set once it was logged that a pool has seen a later fleet owner.
	supersededLogged bool
}

func newQuotaDivision(token int64) *quotaDivision {
	return &quotaDivision{divider: quota.New(token), slots: make(chan struct{}, maxAllotments)}
}

// limitedOrganisations returns the names of the organisations with a quota.
func limitedOrganisations(config *queue.Configuration) []string {
	var names []string
	for n := range config.Organisations {
		if q := config.Organisations[n].Quota; q.CPU > 0 || q.MemoryMB > 0 || q.Accelerators > 0 {
			names = append(names, config.Organisations[n].Name)
		}
	}
	return names
}

// poolsInUse returns the names of the pools that are not spare.
func poolsInUse(config *queue.Configuration) []string {
	var names []string
	for n := range config.Pools {
		if !config.Pools[n].Spare {
			names = append(names, config.Pools[n].Name)
		}
	}
	return names
}

// divideQuotas collects the loads and sends the pools their parts of the quotas. It returns nil if
// there are no quotas.
func (f *fleetOwner) divideQuotas(ctx context.Context, config *queue.Configuration) map[string]*schedule.Load {
	organisations := limitedOrganisations(config)
	if len(organisations) == 0 {
		return nil
	}
	loads := f.host.allLoads(ctx, config, f.token)
	reports := make(map[string]quota.Report, len(loads))
	for pool, load := range loads {
		reports[pool] = quota.Report{
			Token: int64(load.Token), FleetToken: load.FleetToken, Sequence: load.AllotSequence, Organisations: load.Organisations,
		}
	}
	// Collecting the loads may have taken long.
	if !f.confirmed(f.host.now()) {
		return loads
	}
	for _, allotment := range f.quotas.divider.Divide(f.host.now(), poolsInUse(config), organisations, reports) {
		f.sendAllotment(ctx, allotment)
	}
	if f.quotas.divider.Superseded() && !f.quotas.supersededLogged {
		f.quotas.supersededLogged = true
		f.host.events.Event("quota-superseded", "token", f.token)
	}
	return loads
}

// sendAllotment sends an allotment to the owner of its pool. Its answer is not needed: the next load
// shows whether it was applied.
func (f *fleetOwner) sendAllotment(ctx context.Context, a quota.Allotment) {
	request := &wire.AllotRequest{FleetToken: f.token, Sequence: a.Sequence, Pool: a.Pool, PoolToken: a.PoolToken}
	for name, part := range a.Parts {
		request.Organisations = append(request.Organisations, &wire.OrganisationPart{Name: name, Part: part})
	}
	if _, ok := f.host.ownedPool(a.Pool); ok {
		f.host.allotOwned(request)
		return
	}
	address, ok := f.host.directory.ownerOf(ctx, a.Pool)
	if !ok {
		return
	}
	select {
	case f.quotas.slots <- struct{}{}:
	default:
		return
	}
	f.loops.Go(func() {
		defer func() { <-f.quotas.slots }()
		ctx, cancel := context.WithTimeout(ctx, allotTimeout)
		defer cancel()
		_, _ = f.host.peers.Allot(ctx, address, request)
	})
}

// allotOwned sets the parts of quotas in an owned pool, and reports whether they were applied.
func (h *JobHost) allotOwned(request *wire.AllotRequest) bool {
	r, ok := h.ownedPool(request.GetPool())
	if !ok {
		return false
	}
	parts := make(map[string]float64, len(request.GetOrganisations()))
	for _, o := range request.GetOrganisations() {
		parts[o.GetName()] = o.GetPart()
	}
	if !r.pool.Allot(request.GetFleetToken(), worker.FencingToken(request.GetPoolToken()), request.GetSequence(), parts, h.now()) {
		return false
	}
	r.signal()
	return true
}

// setOrganisations hands the organisations of a configuration to the pool, once. Without any
// configuration, the quotas are not known, and what organisations own waits.
func (r *poolRunner) setOrganisations(config *queue.Configuration) {
	if config == nil {
		r.pool.AwaitOrganisations()
		return
	}
	if r.organisationsOf == config {
		return
	}
	r.organisationsOf = config
	r.pool.SetOrganisations(config.Organisations, len(poolsInUse(config)))
}

func organisationsToProto(all map[string]quota.Use) []*wire.OrganisationLoad {
	var rows []*wire.OrganisationLoad
	for name, use := range all {
		rows = append(rows, &wire.OrganisationLoad{Name: name, Part: use.Part, Used: use.Used, Wanted: use.Wanted})
	}
	return rows
}

func organisationsFromProto(rows []*wire.OrganisationLoad) map[string]quota.Use {
	all := make(map[string]quota.Use, len(rows))
	for _, o := range rows {
		all[o.GetName()] = quota.Use{Part: o.GetPart(), Used: o.GetUsed(), Wanted: o.GetWanted()}
	}
	return all
}
