package entryhost

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/coordination/dispatch"
	"github.com/hornbeammast/hornbeammast/internal/state"
)

// lease decides whether the entry host may dispatch. One that reaches neither
// the log nor a peer of its data centre stops before the others go on without it.
type lease struct {
	dispatcher *dispatch.Dispatcher
	bound      time.Duration

	mu      sync.Mutex
	renewed time.Time
}

func newLease(dispatcher *dispatch.Dispatcher, bound time.Duration, now time.Time) *lease {
	return &lease{dispatcher: dispatcher, bound: bound, renewed: now}
}

// renew notes a contact that began at a time.
func (l *lease) renew(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.After(l.renewed) {
		l.renewed = began
	}
}

// judge lets the dispatcher serve or stops it; mu is held.
func (l *lease) judge(s *state.State, dataCentre, self string, ready bool) {
	members := s.DataCentres[dataCentre].Members
	until := time.Time{}
	if len(members) > 1 {
		until = l.renewed.Add(l.bound)
	}
	l.dispatcher.Lease(until)
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
