package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// catchUpInterval is how often catchUp checks the position of the follower.
const catchUpInterval = 5 * time.Millisecond

// state returns the state of a job in an owned pool. Before it reports a job as unknown,
// it reads the partition to its end; ok is false if that fails.
func (p *partition) state(ctx context.Context, r *poolRunner, id job.ID) (state job.State, known, ok bool) {
	if state, known := r.pool.State(id); known {
		return state, true, true
	}
	if !p.catchUp(ctx) {
		return "", false, false
	}
	state, known = r.pool.State(id)
	return state, known, true
}

// catchUp waits until all records that are now in the log have been applied, and returns
// false if that takes longer than readSlack.
func (p *partition) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	batch, err := p.host.platform.Log.Read(ctx, p.id, p.follower.position.Load(), 0)
	if err != nil {
		return false
	}
	for p.follower.position.Load() < batch.End {
		if ctx.Err() != nil {
			return false
		}
		wait(ctx, catchUpInterval)
	}
	return true
}

// peerHandler serves the requests of other entry hosts.
type peerHandler struct{ host *JobHost }

// State returns the state of a job of an owned pool; it is empty if the job is unknown.
func (h peerHandler) State(ctx context.Context, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	p, r, ok := h.host.ownedPool(request.GetPool())
	if !ok {
		return &wire.JobStateReply{}, nil
	}
	state, _, ok := p.state(ctx, r, job.ID(request.GetId()))
	return &wire.JobStateReply{Owner: ok, State: string(state)}, nil
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (h peerHandler) Waiting(_ context.Context, request *wire.WaitingRequest) (*wire.WaitingReply, error) {
	_, r, ok := h.host.ownedPool(request.GetPool())
	if !ok {
		return &wire.WaitingReply{}, nil
	}
	return &wire.WaitingReply{Owner: true, Waiting: int32(r.pool.Waiting(request.GetQueue()))}, nil //nolint:gosec // Far below 2^31 jobs.
}

// Load returns the loads of the pools that this entry host owns.
func (h peerHandler) Load(context.Context, *wire.LoadRequest) (*wire.LoadReply, error) {
	return &wire.LoadReply{Pools: h.host.ownedLoads()}, nil
}

// Restrict sets what hosts may be used for.
func (h peerHandler) Restrict(_ context.Context, request *wire.RestrictRequest) (*wire.RestrictReply, error) {
	hosts := make([]worker.ID, 0, len(request.GetHosts()))
	for _, id := range request.GetHosts() {
		hosts = append(hosts, worker.ID(id))
	}
	return &wire.RestrictReply{Done: h.host.restrictOwned(request.GetPool(), hosts, schedule.Use(request.GetUse()))}, nil
}

// Gone marks a worker as ended.
func (h peerHandler) Gone(_ context.Context, request *wire.GoneRequest) (*wire.GoneReply, error) {
	return &wire.GoneReply{Owner: h.host.markGoneOwned(request.GetPool(), worker.ID(request.GetHost()), time.UnixMilli(request.GetKnownMs()))}, nil
}

// Relay adds a record to the log on behalf of another entry host.
func (h peerHandler) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	return h.host.addForPeer(ctx, request), nil
}

// Standing notes that a peer stands for ownership.
func (h peerHandler) Standing(_ context.Context, request *wire.StandingRequest) (*wire.StandingReply, error) {
	h.host.candidacy.noteStanding(request.GetMember(), h.host.now())
	return &wire.StandingReply{}, nil
}

// Configuration returns the record of the configuration in force if it is newer than the
// requested version, and an empty reply otherwise.
func (h peerHandler) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	record := h.host.operators.recordAbove(request.GetAbove())
	return &wire.ConfigurationReply{Key: record.Key, Value: record.Value}, nil
}
