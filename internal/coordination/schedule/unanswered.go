package schedule

import (
	"maps"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// lateOrderTime is how long an order without an answer may still be carried out.
const lateOrderTime = 15 * time.Second

// unansweredStarts are the starts that were sent to a host, of which no answer has come and which it
// has not listed. The next incarnation may still carry them out, since it knows nothing of stops
// before it.
type unansweredStarts map[runKey]*unansweredStart

type unansweredStart struct {
	// until is when the start can't be carried out any more.
	until time.Time
	// stop is set while the present incarnation has not answered a stop of the start.
	stop bool
	// stopSentAt is when that was last ordered, zero before.
	stopSentAt time.Time
}

func (s unansweredStarts) add(key runKey, sent time.Time) {
	s.expire(sent)
	s[key] = &unansweredStart{until: sent.Add(lateOrderTime)}
}

// startAnswered removes a start to a worker that may have left the pool meanwhile.
func (p *Pool) startAnswered(id worker.ID, key runKey) {
	if h, ok := p.hosts[id]; ok {
		delete(h.unanswered, key)
		return
	}
	delete(p.unanswered[id], key)
}

// restarted has the starts stopped that the next incarnation may still carry out.
func (s unansweredStarts) restarted(now time.Time) {
	s.expire(now)
	for _, u := range s {
		u.stop, u.stopSentAt = true, time.Time{}
	}
}

func (s unansweredStarts) expire(now time.Time) {
	maps.DeleteFunc(s, func(_ runKey, u *unansweredStart) bool { return now.After(u.until) })
}

// stopped records that the present incarnation has answered a stop.
func (s unansweredStarts) stopped(key runKey) {
	if u, ok := s[key]; ok {
		u.stop = false
	}
}

func (s unansweredStarts) wantsStop(key runKey) bool {
	u, ok := s[key]
	return ok && u.stop
}

// stopUnanswered orders the stops of starts whose runs were released before a restart of the host.
func (p *Pool) stopUnanswered(h *host, now time.Time, orders *Orders) {
	for key, u := range h.unanswered {
		if _, ok := h.runs[key]; ok || !u.stop || now.After(u.until) || now.Sub(u.stopSentAt) < stopRetry {
			continue
		}
		u.stopSentAt = now
		p.events.Event("run-stop", "task", key.task, "run", key.run, "host", h.report.ID, "reason", reasonUnanswered)
		orders.Stops = append(orders.Stops, Stop{
			Target: worker.Target{ID: h.report.ID, Address: h.report.Address},
			Order:  worker.StopOrder{Task: key.task, Run: key.run, Token: p.token},
		})
	}
}

// keepUnanswered keeps the unanswered starts to a host that leaves the pool, whose worker may come
// back under its ID.
func (p *Pool) keepUnanswered(h *host, now time.Time) {
	for id, starts := range p.unanswered {
		starts.expire(now)
		if len(starts) == 0 {
			delete(p.unanswered, id)
		}
	}
	if len(h.unanswered) > 0 {
		p.unanswered[h.report.ID] = h.unanswered
	}
}

func (p *Pool) takeUnanswered(id worker.ID) unansweredStarts {
	starts, ok := p.unanswered[id]
	if !ok {
		return unansweredStarts{}
	}
	delete(p.unanswered, id)
	return starts
}
