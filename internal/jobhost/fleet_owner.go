package jobhost

import (
	"context"
	"sync"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// Capacity steers how many hosts each pool gets.
type Capacity struct{}

// fleetOwner is one tenure over machines: it moves them between pools and takes
// them down for maintenance.
type fleetOwner struct {
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func startFleetOwner(_ *JobHost, _ int64) *fleetOwner {
	_, cancel := context.WithCancel(context.Background())
	return &fleetOwner{cancel: cancel}
}

func (f *fleetOwner) stop() {
	f.cancel()
	f.loops.Wait()
}

// loads gives the demand of the pools that are owned here.
func (h *JobHost) loads() []*wire.PoolLoad { return nil }

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
