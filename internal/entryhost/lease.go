package entryhost

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// lease decides whether the entry host may dispatch. One that has lost the
// platform stops before the others go on without it, unless they have lost it too.
type lease struct {
	dispatcher *dispatch.Dispatcher
	bound      time.Duration

	mu      sync.Mutex
	renewed time.Time
}

func newLease(dispatcher *dispatch.Dispatcher, bound time.Duration, now time.Time) *lease {
	return &lease{dispatcher: dispatcher, bound: bound, renewed: now}
}

// renew begins the lease anew at a time.
func (l *lease) renew(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.renewed) {
		l.renewed = at
	}
}

// judge lets the dispatcher serve or stops it; mu is held.
func (l *lease) judge(s *state.State, dataCentre, self string, ready bool) {
	members := s.DataCentres[dataCentre].Members
	l.dispatcher.Lease(l.renewed.Add(l.bound))
	switch {
	case l.dispatcher.Closed():
	case !ready:
		l.dispatcher.StopServing("the configuration has not been read yet")
	case !slices.Contains(members, self):
		l.dispatcher.StopServing("this entry host is not a member of its data centre yet")
	default:
		l.dispatcher.Serving()
	}
}
