package jobhost

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// claimQueue has all other partitions release a queue to a pool of this one.
func (p *partition) claimQueue(ctx context.Context, queue string, claimed handover.Intake) error {
	p.mu.Lock()
	p.intakes.BeginClaim(queue, claimed)
	p.mu.Unlock()
	type answer struct {
		partition int
		reply     *wire.ReleaseQueueReply
		err       error
	}
	answers := make(chan answer, p.host.settings.Partitions)
	others := 0
	for n := range p.host.settings.Partitions {
		if n == p.id.Number {
			continue
		}
		others++
		go func() {
			reply, err := p.host.directory.releaseQueue(ctx, n, intakeToProto(queue, claimed))
			answers <- answer{n, reply, err}
		}()
	}
	var former []int
	var newer *wire.QueueIntake
	var failed error
	for range others {
		a := <-answers
		switch {
		case a.err != nil:
			failed = a.err
		case a.reply.GetNewer().GetVersion() > newer.GetVersion():
			newer = a.reply.GetNewer()
		case a.reply.GetHolds():
			former = append(former, a.partition)
		}
	}
	if newer != nil {
		return p.abandonClaim(ctx, queue, claimed, intakeFromProto(newer))
	}
	if failed != nil {
		return failed
	}
	p.mu.Lock()
	intake, ok := p.intakes.FinishClaim(queue, former)
	if !ok {
		p.mu.Unlock()
		return nil
	}
	return p.recordIntake(ctx, queue, intake, "queue-claimed")
}

// abandonClaim follows a newer version: the queue's jobs go elsewhere, or this partition has to
// claim the queue by that version.
func (p *partition) abandonClaim(ctx context.Context, queue string, claimed, newer handover.Intake) error {
	p.mu.Lock()
	intake, record := p.intakes.AbandonClaim(queue, newer)
	if record {
		return p.recordIntake(ctx, queue, intake, "queue-claim-abandoned")
	}
	p.mu.Unlock()
	if p.host.partitionOf(newer.Pool) == p.id && newer.Version > claimed.Version {
		return p.claimQueue(ctx, queue, newer)
	}
	return nil
}

// releaseQueue makes way for the claim of another partition and reports whether this one holds
// jobs of the queue.
func (p *partition) releaseQueue(ctx context.Context, claim *wire.QueueIntake) (*wire.ReleaseQueueReply, error) {
	queue := claim.GetQueueAddress()
	p.mu.Lock()
	intake, ok := p.intakes.Release(queue, intakeFromProto(claim))
	if !ok {
		p.mu.Unlock()
		return &wire.ReleaseQueueReply{Owner: true, Newer: intakeToProto(queue, intake)}, nil
	}
	if err := p.recordIntake(ctx, queue, intake, "queue-released"); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.ReleaseQueueReply{Owner: true, Holds: p.holdsAny(queue)}, nil
}

// holdsAny reports whether the partition has taken jobs of a queue and not forgotten them. The
// lock is held.
func (p *partition) holdsAny(queue string) bool {
	for _, r := range p.pools {
		if r.pool.Holds(queue) {
			return true
		}
	}
	return false
}

// findJobs returns which jobs of a released queue the partition has taken. That they are taken is
// recorded before, so that a later owner keeps them; the record also shows that this owner has no
// successor.
func (p *partition) findJobs(ctx context.Context, queue string, ids []string) (*wire.FindJobsReply, error) {
	if !p.catchUp(ctx) {
		return nil, errors.New("the log could not be read to its end")
	}
	reply := &wire.FindJobsReply{Owner: true}
	p.mu.Lock()
	for _, id := range ids {
		if t, ok := p.taken[job.ID(id)]; ok {
			t.runner.pool.RecordAgain(job.ID(id))
			reply.Found = append(reply.Found, id)
		}
	}
	reply.Holds = p.holdsAny(queue)
	intake, ok := p.intakes.Intake(queue)
	if !ok {
		p.mu.Unlock()
		return nil, errors.Newf("partition %d has not released queue %s", p.id.Number, queue)
	}
	if err := p.recordIntake(ctx, queue, intake, "jobs-searched"); err != nil {
		return nil, err
	}
	return reply, nil
}
