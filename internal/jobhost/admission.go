package jobhost

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/handover"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
)

// submit adds a record of a caller to the next append, unless it is a new job that could not end in
// time.
func (p *partition) submit(ctx context.Context, record keyedlog.Record) outcome {
	if retryAfter, ok := p.admit(record); !ok {
		return outcome{
			verdict: verdict.NotRun, retryAfter: retryAfter,
			message: "the pool has so much to do that the job would end too late; submit it again after " + retryAfter.Round(time.Second/10).String(),
		}
	}
	return p.recorder.submit(ctx, record)
}

// admit reports whether a record of a caller is accepted, and otherwise when it may be submitted
// again. A job is refused only by an owner that takes the queue's new jobs and does not have it.
func (p *partition) admit(record keyedlog.Record) (retryAfter time.Duration, ok bool) {
	config := p.host.config()
	if !strings.HasPrefix(record.Key, keyJob) || !p.host.settings.AdmissionControl || config == nil || !config.RequiresKeys || !p.loaded.Load() || p.fencedOnce.Load() {
		return 0, true
	}
	j, err := job.Unmarshal(record.Value)
	if err != nil {
		return 0, true
	}
	runner := p.admitting(j, record.Key)
	if runner == nil {
		return 0, true
	}
	retryAfter, ok = runner.pool.Admit(j, p.host.now())
	// The same job may have come in meanwhile.
	if ok || p.admitting(j, record.Key) == nil || !p.host.inContact() {
		return 0, true
	}
	return retryAfter, false
}

// admitting returns the runner of a new job's pool, or nil if the job must not be refused: the
// partition has it, may have it, or leaves it to another one.
func (p *partition) admitting(j *job.Job, key string) *poolRunner {
	// The recorder is asked first: what it has no more, the partition has.
	if p.recorder.has(key) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.known(j.ID)
	_, forwarded := p.forwarded[j.ID]
	decision, _ := p.intakes.Decide(j.QueueAddress, j.ConfigVersion)
	if known || forwarded || decision != handover.Take {
		return nil
	}
	return p.pools[j.Pool]
}

// rejection returns the error of a job that the pool's owner rejects. If an earlier attempt may have
// added it, or still may, the outcome is unknown.
func rejection(o outcome, mayHaveRun bool) error {
	if mayHaveRun {
		return verdict.MayHaveRunError(verdict.CauseClaimFailed, "an earlier attempt got no answer, and the pool's owner refuses another: "+o.message)
	}
	return verdict.HopelessError(o.message, o.retryAfter)
}

// refusal returns the error of a record that is refused for good, or nil if it may be tried again. What
// an earlier attempt may have added is not refused, except by the pool's owner.
func refusal(o outcome, mayHaveRun bool) error {
	switch {
	case o.retryAfter > 0:
		return rejection(o, mayHaveRun)
	case mayHaveRun:
		return nil
	case o.otherOrganisation:
		return verdict.NotRunError(verdict.CauseDuplicate, o.message)
	case o.refused:
		return verdict.NotRunError(verdict.CauseTooLarge, o.message)
	default:
		return nil
	}
}

func relayReply(o outcome) *wire.RelayReply {
	return &wire.RelayReply{
		Verdict: string(o.verdict), Message: o.message, Refused: o.refused, RetryAfterMs: o.retryAfter.Milliseconds(),
	}
}

func outcomeOfReply(reply *wire.RelayReply) outcome {
	return outcome{
		verdict: verdict.Verdict(reply.GetVerdict()), message: reply.GetMessage(), refused: reply.GetRefused(),
		retryAfter:        time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
		otherOrganisation: reply.GetRefused() && reply.GetMessage() == messageOtherOrganisation,
	}
}
