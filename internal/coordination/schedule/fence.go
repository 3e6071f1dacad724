package schedule

import (
	"sync/atomic"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// epochBits is the number of low bits of the fencing token in the orders to a host, which hold the
// host's epoch; the higher bits hold the token of the tenure.
const epochBits = 28

// Epochs counts the epochs of a process, so that none is used twice, also if a pool is scheduled anew
// under the same token.
type Epochs struct{ last atomic.Int64 }

// next returns the next epoch, and false if there is none left.
func (e *Epochs) next() (int64, bool) {
	epoch := e.last.Add(1)
	return epoch, epoch < 1<<epochBits
}

// fence keeps orders to one incarnation of a host's worker from its next one. Each order has the host's
// epoch in its fencing token. An incarnation that has answered an order of an epoch refuses those of
// earlier epochs. It is sealed if nothing that matters was ordered in its epoch before: then it can carry
// out no order that was meant for an earlier incarnation.
type fence struct {
	// epoch is never that of another host. used is set once something that matters was ordered in it.
	epoch  int64
	used   bool
	sealed bool
	// lateUntil is until when an order with a lease that was sent in this tenure may be carried out.
	lateUntil time.Time
}

// nextEpoch returns an epoch above those of all orders so far. Without one nothing can be ordered
// any more.
func (p *Pool) nextEpoch() int64 {
	epoch, ok := p.epochs.next()
	if !ok {
		p.fenced = true
		return 1<<epochBits - 1
	}
	return epoch
}

// raiseFence begins the next epoch of a host, unless nothing was ordered in the present one.
func (p *Pool) raiseFence(h *host) {
	if h.fence.used {
		h.fence.epoch, h.fence.used = p.nextEpoch(), false
	}
}

// tokenFor returns the fencing token of an order to a host.
func (p *Pool) tokenFor(h *host) worker.FencingToken {
	return p.token<<epochBits | worker.FencingToken(h.fence.epoch)
}

// useToken returns the fencing token of an order that changes something on the host.
func (p *Pool) useToken(h *host) worker.FencingToken {
	h.fence.used = true
	return p.tokenFor(h)
}

// wouldSeal reports whether an answer to an order with token seals the incarnation that gives it.
func (p *Pool) wouldSeal(h *host, token worker.FencingToken) bool {
	return !h.fence.used && token == p.tokenFor(h)
}

// seal applies an answer of the present incarnation to an order with token. If that does not seal it,
// the next renewal does.
func (p *Pool) seal(h *host, token worker.FencingToken, now time.Time) {
	switch f := &h.fence; {
	case f.sealed:
	case !p.wouldSeal(h, token):
		p.raiseFence(h)
	default:
		f.sealed = true
		h.expiry = earlier(now.Add(p.limits.maxGrantedDuration()), p.lateExpiry(h))
	}
}

// unseal is called when another incarnation is known to have begun, which may carry out orders to the
// former one, each with a lease, until it is sealed.
func (p *Pool) unseal(h *host) {
	p.raiseFence(h)
	h.fence.sealed = false
	h.expiry = later(h.expiry, p.lateExpiry(h))
}

// lateExpiry returns when all runs on an unresponsive host have ended, also those on a next
// incarnation that carries out orders to the present one.
func (p *Pool) lateExpiry(h *host) time.Time {
	return later(h.fence.lateUntil, p.formerOrdersUntil).Add(p.limits.maxGrantedDuration())
}

// mayBeginLate returns until when the start of a run may be carried out by an incarnation of the host's
// worker that the owner does not know, so that the task must not run elsewhere. Tasks of speculative steps
// may; long-running ones have to be back within seconds.
func (r *run) mayBeginLate() (until time.Time, mayBegin bool) {
	if def := r.task.step.def; def.Speculative || def.LongRunning {
		return time.Time{}, false
	}
	until, mayBegin = r.host.unanswered[r.key()]
	return until, mayBegin
}
