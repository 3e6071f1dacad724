package schedule

import (
	"maps"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// lateOrderTime is how long an order without an answer may still be carried out.
const lateOrderTime = 15 * time.Second

// unansweredStarts are the starts that were sent to a host, of which no answer has come and which it
// has not listed, with the time until when each may still be carried out, by an incarnation that is not
// sealed.
type unansweredStarts map[runKey]time.Time

func (s unansweredStarts) add(key runKey, sent time.Time) {
	s.expire(sent)
	s[key] = sent.Add(lateOrderTime)
}

// startAnswered removes a start to a worker that may have left the pool meanwhile.
func (p *Pool) startAnswered(id worker.ID, key runKey) {
	if h, ok := p.hosts[id]; ok {
		delete(h.unanswered, key)
		return
	}
	delete(p.departed[id].unanswered, key)
}

func (s unansweredStarts) expire(now time.Time) {
	maps.DeleteFunc(s, func(_ runKey, until time.Time) bool { return now.After(until) })
}

// departed is what is kept of a host that has left the pool, whose worker may come back under its ID.
type departed struct {
	unanswered unansweredStarts
	// lateUntil is until when an order to the host may be carried out.
	lateUntil time.Time
}

// remove removes a host from the pool.
func (p *Pool) remove(h *host, now time.Time) {
	maps.DeleteFunc(p.departed, func(_ worker.ID, d departed) bool { return now.After(d.lateUntil) })
	delete(p.hosts, h.report.ID)
	delete(p.unacknowledged, h.report.ID)
	p.departed[h.report.ID] = departed{h.unanswered, h.fence.lateUntil}
}

// takeDeparted returns what is known of a host that joins the pool, from before it last left.
func (p *Pool) takeDeparted(id worker.ID) departed {
	d, ok := p.departed[id]
	if !ok {
		return departed{unanswered: unansweredStarts{}}
	}
	delete(p.departed, id)
	return d
}
