package entryhost

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// lease limits how long the entry host may dispatch without contact with the
// platform. It expires before the other entry hosts go on without this one, unless
// they have lost contact too.
type lease struct {
	dispatcher *dispatch.Dispatcher
	bound      time.Duration

	mu      sync.Mutex
	renewed time.Time
}

func newLease(dispatcher *dispatch.Dispatcher, bound time.Duration, now time.Time) *lease {
	return &lease{dispatcher: dispatcher, bound: bound, renewed: now}
}

// renew extends the lease to bound after the given time. An earlier time than that
// of the last renewal has no effect.
func (l *lease) renew(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.renewed) {
		l.renewed = at
	}
}

// updateDispatcher sets the lease of the dispatcher and starts or stops serving.
// The caller must hold mu.
func (l *lease) updateDispatcher(s *state.State, dataCentre, self string, ready bool) {
	members := s.DataCentres[dataCentre].Members
	l.dispatcher.SetLease(l.renewed.Add(l.bound))
	switch {
	case l.dispatcher.Closed():
	case !ready:
		l.dispatcher.StopServing("the configuration has not been read yet")
	case !slices.Contains(members, self):
		l.dispatcher.StopServing("this entry host is not a member of its data centre yet")
	default:
		l.dispatcher.StartServing()
	}
}
