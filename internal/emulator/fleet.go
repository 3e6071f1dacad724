package emulator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

const (
	rackSize            = 4
	hostSlots           = 8
	maintenanceInterval = 7 * 7 * 24 * time.Hour
)

// Fleet is a declared fleet with the size and layout of one user's fleet.
type Fleet struct {
	Name        string
	Document    fleet.Document
	DataCentres []string
	// ServingPools are the pools with work of their own, which excludes the spare pool.
	ServingPools []string
	// Slots is the number of slots of each host.
	Slots int
}

// weights are a user's weights for the four measures of the maintenance policy.
type weights struct{ buffer, moves, served, rollout float64 }

// shape is the size of a fleet and its division into data centres and pools.
type shape struct {
	name        string
	dataCentres int
	hosts       int
	pools       int
	// needed is the number of hosts that each serving pool's budget guarantees.
	needed int
	// ownSpare is the number of hosts that each serving pool holds beyond that.
	ownSpare int
	// lendable is the number of hosts that the spare pool's budget allows to be lent.
	lendable int
	weights  weights
}

// Fleets returns a user's fleet as declared for the naive and for the policy planners.
// Under the naive ones each serving pool holds a spare host of its own.
func Fleets(name string) (naive, policy Fleet) {
	switch name {
	case "co-operative":
		w := weights{buffer: 1, moves: 1}
		return build(shape{name, 3, 50, 5, 9, 1, 1, w}), build(shape{name, 3, 50, 5, 9, 0, 2, w})
	case "isikbakim":
		w := weights{served: 1, rollout: 1}
		return build(shape{name, 3, 50, 5, 9, 1, 1, w}), build(shape{name, 3, 50, 5, 9, 1, 1, w})
	case "target":
		w := weights{buffer: 1, moves: 1, served: 1, rollout: 1}
		return build(shape{name, 6, 880, 302, 1, 1, 1, w}), build(shape{name, 6, 880, 302, 1, 0, 36, w})
	default:
		panic("unknown fleet: " + name)
	}
}

// build distributes the hosts over data centres, racks and pools; hosts that the serving
// pools don't hold are in the spare pool.
func build(s shape) Fleet {
	f := Fleet{Name: s.name, Slots: hostSlots, Document: fleet.Document{
		Pools: map[string]fleet.Pool{}, Hosts: map[string]fleet.Host{},
		Maintenance: fleet.Maintenance{
			Enabled: true, Interval: fleet.Duration(maintenanceInterval), BufferWeight: s.weights.buffer,
			MovesWeight: s.weights.moves, KeptWeight: s.weights.served, RolloutWeight: s.weights.rollout,
		},
	}}
	for n := range s.dataCentres {
		f.DataCentres = append(f.DataCentres, fmt.Sprintf("dc%d", n))
	}
	pools := []string{}
	for n := range s.pools - 1 {
		name := fmt.Sprintf("p%03d", n)
		f.ServingPools = append(f.ServingPools, name)
		f.Document.Pools[name] = fleet.Pool{Budget: fleet.Budget{MinAvailableHosts: s.needed}}
		for range s.needed + s.ownSpare {
			pools = append(pools, name)
		}
	}
	f.Document.Pools["spare"] = fleet.Pool{Spare: true, Budget: fleet.Budget{MinAvailableHosts: s.hosts - len(pools) - s.lendable}}
	for n := range s.hosts {
		pool := "spare"
		// The spare pool's hosts are interleaved with the others, so that all data centres
		// have some.
		if at := n * len(pools) / s.hosts; (n+1)*len(pools)/s.hosts > at {
			pool = pools[at]
		}
		f.addHost(n, pool, s)
	}
	return f
}

func (f *Fleet) addHost(n int, pool string, s shape) {
	// Consecutive hosts of a pool are in different data centres.
	dc := n % s.dataCentres
	f.Document.Hosts[fmt.Sprintf("h%03d", n)] = fleet.Host{
		DataCentre: f.DataCentres[dc], Rack: fmt.Sprintf("r%d", n/s.dataCentres/rackSize),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+n)), //nolint:gosec // n is small.
		Pool:    pool, Slots: hostSlots, Processors: 32, MemoryGB: 128,
	}
}

// ScaledTargetFleet returns a fleet divided like the target fleet, with the given numbers of
// hosts and pools.
func ScaledTargetFleet(hosts, pools int) Fleet {
	return build(shape{"target-part", 6, hosts, pools, 1, 0, max(hosts/24, 1), weights{1, 1, 1, 1}})
}

// Declaration returns the configuration record that declares the fleet.
func (f Fleet) Declaration() *wire.Record {
	body, err := json.Marshal(f.Document)
	if err != nil {
		panic(err)
	}
	patch := &wire.Patch{Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH, Document: body}
	return &wire.Record{Id: "declaration", Rules: state.RulesVersion, Body: &wire.Record_Patch{Patch: patch}}
}
