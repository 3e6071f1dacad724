package jobhost

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

const (
	// settleRetry is the pause before the owner of another partition is asked again.
	settleRetry = 100 * time.Millisecond
	// settleTimeout bounds a step by which a held job is settled.
	settleTimeout = 2500 * time.Millisecond
	// heldStateWait is how long a question about a held job waits for it to be settled.
	heldStateWait = 300 * time.Millisecond
	// forwardedRetention is how long a partition answers for a job that it has forwarded or left
	// to another one, so that a question or cancel that is on its way finds it.
	forwardedRetention = 2 * time.Minute
	// forwardedVisible is how long it says that such a job is queued, to a caller who has asked the
	// other one before the job was there.
	forwardedVisible = 3 * time.Second
	// forwardedTimeout bounds the question to the other one.
	forwardedTimeout = 400 * time.Millisecond
)

// heldJob is a job that waits until it is known which partition takes it.
type heldJob struct {
	state *jobs.Job
	// settled is closed once that is known.
	settled chan struct{}
}

// forwardedJob is a job that another partition has.
type forwardedJob struct {
	partition int
	at        time.Time
}

// intakeKey returns the key of the record of a queue's intake. The log bounds the length of
// keys, and addresses may be longer.
func intakeKey(queue string) string {
	return keyIntake + strconv.FormatUint(xxhash.Sum64String(queue), 16)
}

func intakeToProto(queue string, i handover.Intake) *wire.QueueIntake {
	m := &wire.QueueIntake{QueueAddress: queue, Version: i.Version, Pool: i.Pool}
	for _, n := range i.Former {
		m.Former = append(m.Former, int32(n)) //nolint:gosec // Below Partitions.
	}
	return m
}

func intakeFromProto(m *wire.QueueIntake) handover.Intake {
	i := handover.Intake{Version: m.GetVersion(), Pool: m.GetPool()}
	for _, n := range m.GetFormer() {
		i.Former = append(i.Former, int(n))
	}
	return i
}

func intakeRecord(queue string, i handover.Intake) (keyedlog.Record, error) {
	data, err := proto.Marshal(intakeToProto(queue, i))
	return keyedlog.Record{Key: intakeKey(queue), Value: data}, errors.Wrap(err, "marshal the intake of a queue")
}

func (p *partition) applyIntake(record keyedlog.Record) {
	m := &wire.QueueIntake{}
	if err := proto.Unmarshal(record.Value, m); err != nil {
		p.host.events.Event("record-unreadable", "topic", p.id.Topic, "partition", p.id.Number, "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	p.intakes.Apply(m.GetQueueAddress(), intakeFromProto(m))
}

// hold keeps a job until it is known which partition takes it. The lock is held.
func (p *partition) hold(id job.ID, state *jobs.Job) {
	p.held[id] = &heldJob{state: state, settled: make(chan struct{})}
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

// recordIntake records an intake that was decided under the lock, which it releases: intakes must
// be recorded in the order in which they were decided.
func (p *partition) recordIntake(ctx context.Context, queue string, intake handover.Intake, event string) error {
	record, err := intakeRecord(queue, intake)
	if err != nil {
		p.mu.Unlock()
		return err
	}
	submitted := p.recorder.enqueue(record)
	p.mu.Unlock()
	p.host.events.Event(event, "partition", p.id.Number, "queue", queue, "config", intake.Version, "pool", intake.Pool, "former", intake.Former)
	return p.awaitRecorded(ctx, submitted)
}

func (p *partition) awaitRecorded(ctx context.Context, submitted *submittedRecord) error {
	if o := p.recorder.await(ctx, submitted); o.verdict != verdict.Ran {
		return errors.Newf("the log has not confirmed a record: %s", o.message)
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
		if err := p.host.submitter.Submit(ctx, &forwarded); err != nil {
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
	p.forwarded[id] = forwardedJob{target, p.host.now()}
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
	p.take(h.state)
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

// waiting returns how many jobs of a queue have not begun, and whether no other partition can have
// any.
func (p *partition) waiting(queue string) (n int, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.pools {
		n += r.pool.Waiting(queue)
	}
	for _, h := range p.held {
		if h.state.QueueAddress == queue {
			n++
		}
	}
	intake, known := p.intakes.Intake(queue)
	return n, known && len(intake.Former) == 0 && p.host.partitionOf(intake.Pool) == p.id
}
