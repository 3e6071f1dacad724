// Package inbound bounds what clients can make a process hold: the connections of each
// listener, and the bytes received and not yet answered over all connections.
package inbound

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Cause says why a connection was closed or a request was refused.
type Cause string

// Causes.
const (
	// CauseConnections is the limit on the connections of a listener.
	CauseConnections Cause = "connections"
	// CauseAddress is the limit on the connections from one client address.
	CauseAddress Cause = "connections-of-address"
	// CauseReceived is the budget of bytes received and not yet answered.
	CauseReceived Cause = "received-bytes"
	// CauseHeaderSize is the limit on the header of a request.
	CauseHeaderSize Cause = "header-size"
	// CauseBodySize is the limit on the body of a request.
	CauseBodySize Cause = "body-size"
	// CauseAmbiguous is a header that a proxy may have read differently.
	CauseAmbiguous Cause = "ambiguous-header"
	// CauseHeaderTime is the time in which a header must arrive.
	CauseHeaderTime Cause = "header-time"
	// CauseUnread is the time in which an answer must be read.
	CauseUnread Cause = "answer-unread"
)

// logInterval is the minimum time between two log lines of one cause.
const logInterval = time.Second

// minAge is added to the age of a request when requests are compared, so that among
// requests that have just begun the largest is shed.
const minAge = time.Millisecond

// Events writes events to the event log.
type Events interface {
	Event(name string, pairs ...any)
}

// Guard bounds the bytes that are received and not yet answered over all connections of its
// listeners.
type Guard struct {
	// maxReceived is the budget in bytes; 0 sets no bound.
	maxReceived int64
	events      Events
	received    atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]struct{}

	logMu    sync.Mutex
	counts   map[Cause]int64
	unlogged map[Cause]int64
	loggedAt map[Cause]time.Time
}

// NewGuard creates a guard with a budget in bytes; 0 sets no bound. events may be nil.
func NewGuard(maxReceived int64, events Events) *Guard {
	return &Guard{
		maxReceived: maxReceived, events: events, conns: map[*Conn]struct{}{},
		counts: map[Cause]int64{}, unlogged: map[Cause]int64{}, loggedAt: map[Cause]time.Time{},
	}
}

// Metrics returns the open connections, the bytes held, and the number of connections closed
// and requests refused by cause.
func (g *Guard) Metrics() map[string]any {
	g.mu.Lock()
	open := len(g.conns)
	g.mu.Unlock()
	g.logMu.Lock()
	defer g.logMu.Unlock()
	return map[string]any{"connections": open, "received-bytes": g.received.Load(), "max-received-bytes": g.maxReceived, "refused": maps.Clone(g.counts)}
}

// Refused counts a refusal, and logs it at most once per logInterval for each cause.
func (g *Guard) Refused(cause Cause, listener, client string) {
	g.logMu.Lock()
	g.counts[cause]++
	g.unlogged[cause]++
	now := time.Now()
	count, due := g.unlogged[cause], now.Sub(g.loggedAt[cause]) >= logInterval
	if due {
		g.unlogged[cause], g.loggedAt[cause] = 0, now
	}
	g.logMu.Unlock()
	if due && g.events != nil {
		g.events.Event("client-refused", "cause", cause, "count", count, "listener", listener, "client", client,
			"received", g.received.Load(), "max-received", g.maxReceived)
	}
}

// add accounts bytes to a connection, and sheds connections while the budget is exceeded.
func (g *Guard) add(c *Conn, n int) {
	total := g.received.Add(int64(n))
	c.received.Add(int64(n))
	if c.closed.Load() {
		// The connection was closed meanwhile, and may have released its bytes before.
		g.received.Add(-c.received.Swap(0))
		return
	}
	if g.maxReceived > 0 && total > g.maxReceived {
		g.shed()
	}
}

// shed closes the connections that hold the most bytes for the longest time until the
// rest is within the budget. A connection whose request is being carried out is kept.
func (g *Guard) shed() {
	for g.received.Load() > g.maxReceived {
		victim := g.largest()
		if victim == nil {
			return
		}
		victim.closeFor(CauseReceived)
	}
}

// largest returns the connection with the largest product of bytes and age.
func (g *Guard) largest() *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var victim *Conn
	var largest float64
	now := time.Now()
	for c := range g.conns {
		if !c.sheddable() {
			continue
		}
		weight := float64(c.received.Load()) * (now.Sub(c.since()) + minAge).Seconds()
		if weight > largest {
			victim, largest = c, weight
		}
	}
	return victim
}
