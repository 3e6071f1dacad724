package inbound

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// addressShare is the maximum fraction of a listener's connections that one client address
// may have. A balancer may forward the connections of all clients from its own address, so
// the fraction is large; the rest remains for health checks and other balancers.
const addressShare = 0.75

// Listener accepts connections within a limit. If the limit is reached, the connection that
// has waited for its client the longest is closed in favour of a new one.
type Listener struct {
	net.Listener
	guard    *Guard
	maxConns int
	limits   func() Limits

	// Guarded by guard.mu.
	open      int
	addresses map[netip.Addr]int
}

// Limits bound the header of a request, and the time for which a connection may wait for it.
type Limits struct {
	// MaxHeaderBytes bounds the request line and the header together.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection may wait for a request, or for more
	// of a body.
	IdleTimeout time.Duration
}

// Listen wraps a listener. limits is nil if the connections don't carry HTTP.
func (g *Guard) Listen(listener net.Listener, maxConns int, limits func() Limits) *Listener {
	return &Listener{Listener: listener, guard: g, maxConns: maxConns, limits: limits, addresses: map[netip.Addr]int{}}
}

// Accept returns the next connection that is within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // Servers tell errors of Accept by their type.
		}
		c := newConn(l, raw)
		if cause := l.admit(c); cause != "" {
			l.guard.Refused(cause, l.Addr().String(), c.client.String())
			_ = raw.Close()
			continue
		}
		return c, nil
	}
}

// admit adds a connection, and closes another in its favour if a limit is reached. It returns
// the limit if there is no other to close.
func (l *Listener) admit(c *Conn) Cause {
	maxOfAddress := max(1, int(addressShare*float64(l.maxConns)))
	l.guard.mu.Lock()
	var cause Cause
	var victim *Conn
	switch {
	case l.addresses[c.client] >= maxOfAddress:
		cause, victim = CauseAddress, l.longestWaiting(c.client)
	case l.open >= l.maxConns:
		cause, victim = CauseConnections, l.longestWaiting(l.busiestAddress())
	}
	if cause != "" && victim == nil {
		l.guard.mu.Unlock()
		return cause
	}
	if victim != nil {
		victim.forget()
	}
	l.open++
	l.addresses[c.client]++
	l.guard.conns[c] = struct{}{}
	l.guard.mu.Unlock()
	if victim != nil {
		victim.closeFor(cause)
	}
	return ""
}

// busiestAddress returns the address with the most connections. The guard is locked.
func (l *Listener) busiestAddress() netip.Addr {
	var busiest netip.Addr
	for address, count := range l.addresses {
		if count > l.addresses[busiest] {
			busiest = address
		}
	}
	return busiest
}

// longestWaiting returns the connection of an address that has waited for its client the
// longest, or nil if none waits. The guard is locked.
func (l *Listener) longestWaiting(address netip.Addr) *Conn {
	var longest *Conn
	for c := range l.guard.conns {
		if c.listener != l || c.client != address || !c.sheddable() {
			continue
		}
		if longest == nil || c.since().Before(longest.since()) {
			longest = c
		}
	}
	return longest
}

// addressOf returns the client's address; it is invalid for connections without an IP address.
func addressOf(c net.Conn) netip.Addr {
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr().Unmap()
}

// errShed is returned by reads of a connection that was closed.
var errShed = errors.New("the connection was closed because a limit on clients was reached")
