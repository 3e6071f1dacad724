package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

// heldJob is a job that waits until it is known which partition takes it.
type heldJob struct {
	state *jobs.Job
	// sum is that of takenJob.
	sum uint64
	// settled is closed once that is known.
	settled chan struct{}
}

// forwardedJob is a job that another partition has.
type forwardedJob struct {
	// organisation and queue, its address, are those of the job.
	organisation, queue string

	partition int
	at        time.Time
}

// hold keeps a job until it is known which partition takes it. The lock is held.
func (p *partition) hold(id job.ID, state *jobs.Job, sum uint64) {
	p.held[id] = &heldJob{state: state, sum: sum, settled: make(chan struct{})}
	queue := state.QueueAddress
	if p.settling[queue] {
		return
	}
	p.settling[queue] = true
	p.loops.Go(func() { p.settle(queue) })
}

// settle settles the held jobs of a queue until there are none.
func (p *partition) settle(queue string) {
	delayUnlogged := true
	for p.ctx.Err() == nil {
		p.mu.Lock()
		decided := p.decideHeld(queue)
		if decided == nil {
			delete(p.settling, queue)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(p.ctx, settleTimeout)
		err := p.settleDecided(ctx, queue, decided)
		cancel()
		if err == nil {
			continue
		}
		if delayUnlogged {
			p.host.events.Event("jobs-held", "partition", p.id.Number, "queue", queue, "decision", decided.decision, "jobs", len(decided.jobs), "error", err)
			delayUnlogged = false
		}
		wait(p.ctx, settleRetry)
	}
}

// heldDecision is what to do next about held jobs of a queue.
type heldDecision struct {
	decision handover.Decision
	intake   handover.Intake
	jobs     []*jobs.Job
}

// decideHeld takes the held jobs of a queue that can be taken and returns what to do about
// others, or nil if there are none. The lock is held.
func (p *partition) decideHeld(queue string) *heldDecision {
	var next *heldDecision
	for id, h := range p.held {
		if h.state.QueueAddress != queue {
			continue
		}
		decision, intake := p.intakes.Decide(queue, h.state.ConfigVersion)
		if decision == handover.Take {
			p.takeHeld(id)
			continue
		}
		if decision == handover.Claim {
			intake = handover.Intake{Version: h.state.ConfigVersion, Pool: h.state.Pool}
		}
		switch {
		case next == nil || (decision == handover.Claim && intake.Version > next.intake.Version):
			next = &heldDecision{decision: decision, intake: intake, jobs: []*jobs.Job{h.state}}
		case next.decision == decision:
			next.jobs = append(next.jobs, h.state)
		}
	}
	return next
}

func (p *partition) settleDecided(ctx context.Context, queue string, d *heldDecision) error {
	switch d.decision {
	case handover.Claim:
		return p.claimQueue(ctx, queue, d.intake)
	case handover.Search:
		return p.searchFormer(ctx, queue, d)
	default:
		return p.forward(ctx, d)
	}
}

// searchFormer asks the former partitions of a queue for held jobs. Those that one has stay there,
// the others are taken.
func (p *partition) searchFormer(ctx context.Context, queue string, d *heldDecision) error {
	request := &wire.FindJobsRequest{QueueAddress: queue}
	for _, j := range d.jobs {
		request.Ids = append(request.Ids, string(j.ID))
	}
	foundIn := map[job.ID]int{}
	for _, former := range d.intake.Former {
		reply, err := p.host.directory.findJobs(ctx, former, request)
		if err != nil {
			return err
		}
		for _, id := range reply.GetFound() {
			foundIn[job.ID(id)] = former
		}
		if reply.GetHolds() {
			continue
		}
		p.mu.Lock()
		intake, changed := p.intakes.Emptied(queue, former)
		if !changed {
			p.mu.Unlock()
			continue
		}
		if err := p.recordIntake(ctx, queue, intake, "queue-moved"); err != nil {
			return err
		}
	}
	for _, j := range d.jobs {
		former, found := foundIn[j.ID]
		if !found {
			p.takeSearched(queue, j.ID, d.intake.Version)
			continue
		}
		p.host.events.Event("job-elsewhere", "job", j.ID, "partition", p.id.Number, "taken-by", former, "queue", queue)
		if err := p.giveAway(ctx, j.ID, former); err != nil {
			return err
		}
	}
	return nil
}

// forward hands held jobs to the pool that takes the queue's jobs now.
func (p *partition) forward(ctx context.Context, d *heldDecision) error {
	target := p.host.partitionOf(d.intake.Pool).Number
	for _, j := range d.jobs {
		forwarded := *j.Job
		forwarded.Pool, forwarded.ConfigVersion = d.intake.Pool, d.intake.Version
		// The job of another organisation that has the ID there is the first.
		if err := p.host.submitter.Submit(ctx, &forwarded); err != nil && verdict.FromError(err).Cause != verdict.CauseDuplicate {
			return err
		}
		p.host.events.Event("job-forwarded", "job", j.ID, "partition", p.id.Number, "to", target, "pool", d.intake.Pool,
			"config", j.ConfigVersion, "by-config", d.intake.Version)
		if err := p.giveAway(ctx, j.ID, target); err != nil {
			return err
		}
	}
	return nil
}

// giveAway drops a held job that another partition has, with its cancel if there is one.
func (p *partition) giveAway(ctx context.Context, id job.ID, target int) error {
	p.mu.Lock()
	h, ok := p.held[id]
	_, cancelled := p.cancelled[id]
	p.mu.Unlock()
	if !ok {
		return nil
	}
	if cancelled {
		if err := p.host.submitter.Cancel(ctx, target, id); err != nil {
			return err
		}
	}
	if err := p.awaitRecorded(ctx, p.recorder.enqueue(keyedlog.Record{Key: keyJob + string(id)})); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded[id] = forwardedJob{h.state.Organisation, h.state.QueueAddress, target, p.host.now()}
	delete(p.held, id)
	delete(p.cancelled, id)
	close(h.settled)
	return nil
}

// takeSearched takes a held job that no former partition has, unless the queue was released to
// another partition meanwhile, which has not found the job here.
func (p *partition) takeSearched(queue string, id job.ID, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if intake, _ := p.intakes.Intake(queue); intake.Version == version {
		p.takeHeld(id)
	}
}

// takeHeld takes a held job into its pool. The lock is held.
func (p *partition) takeHeld(id job.ID) {
	h, ok := p.held[id]
	if !ok {
		return
	}
	delete(p.held, id)
	close(h.settled)
	p.take(h.state, h.sum)
}

// cancelForwarded passes a cancel on to the partition that has the job.
func (p *partition) cancelForwarded(id job.ID, target int) {
	p.loops.Go(func() {
		for p.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(p.ctx, settleTimeout)
			err := p.host.submitter.Cancel(ctx, target, id)
			cancel()
			p.host.events.Event("cancel-forwarded", "job", id, "partition", p.id.Number, "to", target, "error", err)
			if err == nil {
				return
			}
			wait(p.ctx, settleRetry)
		}
	})
}
