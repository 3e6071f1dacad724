package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// catchUpCheck is how often an owner looks whether it has read what it waits for.
const catchUpCheck = 5 * time.Millisecond

// state answers for a job of a pool that is owned here. Before it says that there
// is no such job, it makes sure that it has read all there is.
func (p *partition) state(ctx context.Context, r *poolRunner, id job.ID) (state job.State, known, ok bool) {
	if state, known := r.pool.State(id); known {
		return state, true, true
	}
	if !p.caughtUp(ctx) {
		return "", false, false
	}
	state, known = r.pool.State(id)
	return state, known, true
}

// caughtUp waits until all records that are in the log now have been taken.
func (p *partition) caughtUp(ctx context.Context) bool {
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
		wait(ctx, catchUpCheck)
	}
	return true
}

// peerAnswers answers other entry hosts.
type peerAnswers struct{ host *JobHost }

// State tells how a job stands.
func (a peerAnswers) State(ctx context.Context, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	p, r, ok := a.host.owned(request.GetPool())
	if !ok {
		return &wire.JobStateReply{}, nil
	}
	state, _, ok := p.state(ctx, r, job.ID(request.GetId()))
	return &wire.JobStateReply{Owner: ok, State: string(state)}, nil
}

// Waiting counts the jobs of a queue of which nothing has started.
func (a peerAnswers) Waiting(_ context.Context, request *wire.WaitingRequest) (*wire.WaitingReply, error) {
	_, r, ok := a.host.owned(request.GetPool())
	if !ok {
		return &wire.WaitingReply{}, nil
	}
	return &wire.WaitingReply{Owner: true, Waiting: int32(r.pool.Waiting(request.GetQueue()))}, nil //nolint:gosec // Far below 2^31 jobs.
}

// Load gives the demand of the pools that are owned here.
func (a peerAnswers) Load(context.Context, *wire.LoadRequest) (*wire.LoadReply, error) {
	return &wire.LoadReply{Pools: a.host.loads()}, nil
}

// Restrict sets what hosts may be used for.
func (a peerAnswers) Restrict(_ context.Context, request *wire.RestrictRequest) (*wire.RestrictReply, error) {
	hosts := make([]worker.ID, 0, len(request.GetHosts()))
	for _, id := range request.GetHosts() {
		hosts = append(hosts, worker.ID(id))
	}
	return &wire.RestrictReply{Done: a.host.restrictHere(request.GetPool(), hosts, schedule.Use(request.GetUse()))}, nil
}

// Gone takes that a worker has ended.
func (a peerAnswers) Gone(_ context.Context, request *wire.GoneRequest) (*wire.GoneReply, error) {
	return &wire.GoneReply{Owner: a.host.goneHere(request.GetPool(), request.GetHost())}, nil
}

// Relay adds a record for an entry host that the log turns away.
func (a peerAnswers) Relay(ctx context.Context, request *wire.RelayRequest) (*wire.RelayReply, error) {
	return a.host.relayHere(ctx, request), nil
}

// Configuration gives the configuration in force if it is above a version.
func (a peerAnswers) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	record := a.host.operators.recordAbove(request.GetAbove())
	return &wire.ConfigurationReply{Key: record.Key, Value: record.Value}, nil
}
