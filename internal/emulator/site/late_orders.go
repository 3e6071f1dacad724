package site

import (
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	// maxLateDelay bounds the time after which an order without an answer is carried out.
	maxLateDelay = 14900 * time.Millisecond
	// promptShare is the share of the late orders that are carried out as soon as they can be.
	promptShare = 0.25
	// heldShare is the share of the orders to a worker which is away or cut off that are carried
	// out once it is not.
	heldShare = 0.5
	// deliveryInterval is how often it is looked whether it is not.
	deliveryInterval = 20 * time.Millisecond
)

// lateOrder is an order to a worker that gets no answer and is carried out late, by whichever
// incarnation has the worker's ID then.
type lateOrder struct {
	// name and details describe the order in the log.
	name    string
	details []any
	id      worker.ID
	from    *EntryHost
	sent    time.Time
	// arrived means that the order is past the network, so that a cut does not hold it back.
	arrived  bool
	carryOut func(*Worker) (result string)
}

// hold has a share of the orders to a worker that is away or cut off carried out late.
func (s *Site) hold(o lateOrder) {
	if s.chance(heldShare) {
		s.deliverLate(o)
	}
}

// SetLateOrderAge sets the least age of a life that carries out late orders, zero by default.
func (s *Site) SetLateOrderAge(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minLateOrderAge = age
}

func (s *Site) lateOrderAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minLateOrderAge
}

func (s *Site) deliverLate(o lateOrder) {
	delay := time.Duration(0)
	if !s.chance(promptShare) {
		delay = time.Duration(s.random() * float64(maxLateDelay))
	}
	s.deliverAfter(delay, o)
}

func (s *Site) deliverAfter(delay time.Duration, o lateOrder) {
	time.AfterFunc(delay, func() {
		w := s.worker(o.id)
		switch {
		case time.Since(o.sent) > maxLateDelay:
		case w.isDark() || (!o.arrived && s.separated(o.from, w)) || time.Since(w.startedAt) < s.lateOrderAge():
			s.deliverAfter(deliveryInterval, o)
		case w.alive():
			result := o.carryOut(w)
			s.events("platform").Event("late-order", append([]any{
				"order", o.name, "result", result, "from", o.from.Name, "host", o.id, "life", w.incarnation,
				"life-age", time.Since(w.startedAt), "late", time.Since(o.sent),
			}, o.details...)...)
		}
	})
}
