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
	rackSize  = 4
	hostSlots = 8
	interval  = 7 * 7 * 24 * time.Hour
)

// Fleet is a declared fleet in the shape of one user.
type Fleet struct {
	Name        string
	Document    fleet.Document
	DataCentres []string
	// Serving are the pools with work of their own.
	Serving []string
	Slots   int
}

// weights are a user's weights of the four measures.
type weights struct{ buffer, moves, kept, rollout float64 }

// shape says how a fleet is divided.
type shape struct {
	name        string
	dataCentres int
	hosts       int
	pools       int
	// needed is how many hosts each pool's budget guarantees.
	needed int
	// ownSpare is how many hosts beyond that each pool holds itself.
	ownSpare int
	// shared is how many hosts the spare pool's budget lets go.
	shared  int
	weights weights
}

// Fleets gives a user's fleet as it is declared for the naive way, where each
// pool holds its own spare, and for the policy.
func Fleets(name string) (naive, policy Fleet) {
	switch name {
	case "co-operative":
		w := weights{buffer: 1, moves: 1}
		return build(shape{name, 3, 50, 5, 9, 1, 1, w}), build(shape{name, 3, 50, 5, 9, 0, 2, w})
	case "isikbakim":
		w := weights{kept: 1, rollout: 1}
		return build(shape{name, 3, 50, 5, 9, 1, 1, w}), build(shape{name, 3, 50, 5, 9, 1, 1, w})
	case "target":
		w := weights{buffer: 1, moves: 1, kept: 1, rollout: 1}
		return build(shape{name, 6, 880, 302, 1, 1, 1, w}), build(shape{name, 6, 880, 302, 1, 0, 36, w})
	default:
		panic("no fleet is called " + name)
	}
}

// build spreads the hosts over data centres, racks and pools; what the serving
// pools don't need is in the spare pool.
func build(s shape) Fleet {
	f := Fleet{Name: s.name, Slots: hostSlots, Document: fleet.Document{
		Pools: map[string]fleet.Pool{}, Hosts: map[string]fleet.Host{},
		Maintenance: fleet.Maintenance{
			Enabled: true, Interval: fleet.Duration(interval), BufferWeight: s.weights.buffer,
			MovesWeight: s.weights.moves, KeptWeight: s.weights.kept, RolloutWeight: s.weights.rollout,
		},
	}}
	for n := range s.dataCentres {
		f.DataCentres = append(f.DataCentres, fmt.Sprintf("dc%d", n))
	}
	pools := []string{}
	for n := range s.pools - 1 {
		name := fmt.Sprintf("p%03d", n)
		f.Serving = append(f.Serving, name)
		f.Document.Pools[name] = fleet.Pool{Budget: fleet.Budget{MinAvailableHosts: s.needed}}
		for range s.needed + s.ownSpare {
			pools = append(pools, name)
		}
	}
	f.Document.Pools["spare"] = fleet.Pool{Spare: true, Budget: fleet.Budget{MinAvailableHosts: s.hosts - len(pools) - s.shared}}
	for n := range s.hosts {
		pool := "spare"
		// The spare pool's hosts lie among the others, in all data centres.
		if at := n * len(pools) / s.hosts; (n+1)*len(pools)/s.hosts > at {
			pool = pools[at]
		}
		f.addHost(n, pool, s)
	}
	return f
}

func (f *Fleet) addHost(n int, pool string, s shape) {
	// Neighbours in a pool lie in different data centres.
	dc := n % s.dataCentres
	f.Document.Hosts[fmt.Sprintf("h%03d", n)] = fleet.Host{
		DataCentre: f.DataCentres[dc], Rack: fmt.Sprintf("r%d", n/s.dataCentres/rackSize),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+n)), //nolint:gosec // n is small.
		Pool:    pool, Slots: hostSlots, Processors: 32, MemoryGB: 128,
	}
}

// TargetPart is a fleet in the target's shape with fewer hosts and pools.
func TargetPart(hosts, pools int) Fleet {
	return build(shape{"target-part", 6, hosts, pools, 1, 0, max(hosts/24, 1), weights{1, 1, 1, 1}})
}

// Declaration is the record that declares the fleet.
func (f Fleet) Declaration() *wire.Record {
	body, err := json.Marshal(f.Document)
	if err != nil {
		panic(err)
	}
	patch := &wire.Patch{Format: wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH, Document: body}
	return &wire.Record{Id: "declaration", Rules: state.RulesVersion, Body: &wire.Record_Patch{Patch: patch}}
}
