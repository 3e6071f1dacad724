package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/intake"
	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// catchUpInterval is how often catchUp checks the position of the follower.
const catchUpInterval = 5 * time.Millisecond

// status returns the status of a job in an owned partition. Before it reports a job as unknown,
// it reads the partition to its end; ok is false if that fails. Unless direct is set, it asks the
// partition to which it has forwarded the job.
func (p *partition) status(ctx context.Context, id job.ID, direct bool) (status intake.Status, known, ok bool) {
	if status, known := p.lookup(id); known {
		return status, true, true
	}
	if !p.catchUp(ctx) {
		return intake.Status{}, false, false
	}
	p.awaitSettled(ctx, id)
	if status, known := p.lookup(id); known {
		return status, true, true
	}
	return p.statusOfUntaken(ctx, id, direct)
}

// awaitSettled waits, within a bound, until it is known whether the partition takes a job.
func (p *partition) awaitSettled(ctx context.Context, id job.ID) {
	p.mu.Lock()
	h, ok := p.held[id]
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heldStateWait)
	defer cancel()
	select {
	case <-h.settled:
	case <-ctx.Done():
	}
}

// statusOfUntaken returns the status of a job that the partition has not taken: one that is held or
// was forwarded is accepted.
func (p *partition) statusOfUntaken(ctx context.Context, id job.ID, direct bool) (status intake.Status, known, ok bool) {
	p.mu.Lock()
	h, held := p.held[id]
	f, forwarded := p.forwarded[id]
	p.mu.Unlock()
	status.State = job.Queued
	switch {
	case held:
		status.Organisation = p.host.visibleTo(h.state.Organisation, h.state.QueueAddress)
	case forwarded:
		status.Organisation = p.host.visibleTo(f.organisation, f.queue)
	}
	if !forwarded || direct {
		return status, held, true
	}
	ctx, cancel := context.WithTimeout(ctx, forwardedTimeout)
	defer cancel()
	there, known, ok := p.host.directory.directStatus(ctx, f.partition, id)
	if ok && !known && p.host.now().Sub(f.at) < forwardedVisible {
		return status, true, true
	}
	return there, known, ok
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

// State returns the state of a job of an owned partition; it is empty if the job is unknown.
func (h peerHandler) State(ctx context.Context, request *wire.JobStateRequest) (*wire.JobStateReply, error) {
	p, ok := h.host.actingPartition(int(request.GetPartition()))
	if !ok {
		return &wire.JobStateReply{}, nil
	}
	status, known, ok := p.status(ctx, job.ID(request.GetId()), request.GetDirect())
	if !known {
		status = intake.Status{}
	}
	return &wire.JobStateReply{Owner: ok, State: string(status.State), Organisation: status.Organisation}, nil
}

// ReleaseQueue has an owned partition take no more new jobs of a queue.
func (h peerHandler) ReleaseQueue(ctx context.Context, request *wire.ReleaseQueueRequest) (*wire.ReleaseQueueReply, error) {
	p, ok := h.host.actingPartition(int(request.GetPartition()))
	if !ok {
		return &wire.ReleaseQueueReply{}, nil
	}
	return p.releaseQueue(ctx, request.GetIntake())
}

// FindJobs returns which of some jobs an owned partition has taken.
func (h peerHandler) FindJobs(ctx context.Context, request *wire.FindJobsRequest) (*wire.FindJobsReply, error) {
	p, ok := h.host.actingPartition(int(request.GetPartition()))
	if !ok {
		return &wire.FindJobsReply{}, nil
	}
	return p.findJobs(ctx, request.GetQueueAddress(), request.GetIds())
}

// Waiting returns the number of a queue's jobs of which no task has started, in the owned
// partitions.
func (h peerHandler) Waiting(_ context.Context, request *wire.WaitingRequest) (*wire.WaitingReply, error) {
	return h.host.waitingInOwned(request.GetQueueAddress()), nil
}

// Load returns the loads of the pools that this entry host owns.
func (h peerHandler) Load(_ context.Context, request *wire.LoadRequest) (*wire.LoadReply, error) {
	return &wire.LoadReply{Pools: h.host.ownedLoads(request.GetFleetToken())}, nil
}

// Restrict sets what hosts may be used for.
func (h peerHandler) Restrict(_ context.Context, request *wire.RestrictRequest) (*wire.RestrictReply, error) {
	hosts := make([]worker.ID, 0, len(request.GetHosts()))
	for _, id := range request.GetHosts() {
		hosts = append(hosts, worker.ID(id))
	}
	return &wire.RestrictReply{Done: h.host.restrictOwned(request.GetPool(), hosts, schedule.Use(request.GetUse()))}, nil
}

// Allot sets the parts of the organisations' quotas that a pool may use.
func (h peerHandler) Allot(_ context.Context, request *wire.AllotRequest) (*wire.AllotReply, error) {
	return &wire.AllotReply{Done: h.host.allotOwned(request)}, nil
}

// Gone marks a worker as ended.
func (h peerHandler) Gone(_ context.Context, request *wire.GoneRequest) (*wire.GoneReply, error) {
	return &wire.GoneReply{Owner: h.host.markGoneOwned(request.GetPool(), worker.ID(request.GetHost()), time.UnixMilli(request.GetKnownMs()), request.GetReplaced())}, nil
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

// Configuration returns the record of the configuration in force if it is newer than the requested version,
// and up to when that configuration is known to be the newest.
func (h peerHandler) Configuration(_ context.Context, request *wire.ConfigurationRequest) (*wire.ConfigurationReply, error) {
	// The record is taken last: a version that comes into force meanwhile is newer than the one confirmed.
	confirmedAt := h.host.ConfirmedAt()
	version, record := h.host.operators.recordAbove(request.GetAbove())
	reply := &wire.ConfigurationReply{Key: record.Key, Value: record.Value}
	if !confirmedAt.IsZero() {
		// The age is rounded up, so that the confirmation is not taken for a later one.
		reply.ConfirmedVersion, reply.ConfirmedAgeMs = version, h.host.now().Sub(confirmedAt).Milliseconds()+1
	}
	return reply, nil
}
