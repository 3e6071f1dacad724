package site

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// network connects entry hosts through in-memory pipes. Isolating a data centre prevents
// new connections to and from it, and open ones go silent.
type network struct {
	site *Site

	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
}

type pipeListener struct {
	network *network
	address netip.AddrPort
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// hostNetwork is the network as one entry host sees it.
type hostNetwork struct {
	network *network
	host    *EntryHost
}

// Listen listens for connections at an address.
func (n hostNetwork) Listen(address netip.AddrPort) (net.Listener, error) {
	l := &pipeListener{network: n.network, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.network.listeners[address] = l
	return l, nil
}

// Dial connects to an address. Across a network partition it blocks until ctx ends.
func (n hostNetwork) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	n.network.mu.Lock()
	l, ok := n.network.listeners[address]
	n.network.mu.Unlock()
	if !ok {
		return nil, errors.Newf("no listener on %s", address)
	}
	if !n.network.site.peersConnected(n.host, address) {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "connect across a network partition")
	}
	local, remote := n.pipe(address)
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, errors.Newf("listener on %s is closed", address)
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect")
	}
}

// pipe returns the ends of a connection to the peer at an address.
func (n hostNetwork) pipe(address netip.AddrPort) (local, remote net.Conn) {
	local, remote = net.Pipe()
	silent := &atomic.Bool{}
	isSilent := func() bool {
		if !n.network.site.peersConnected(n.host, address) {
			silent.Store(true)
		}
		return silent.Load()
	}
	return &peerConn{local, isSilent}, &peerConn{remote, isSilent}
}

// peerConn is an end of a connection, from which nothing arrives once it was silent.
type peerConn struct {
	net.Conn
	isSilent func() bool
}

// Write sends data, or loses it if the connection is silent.
func (c *peerConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data) //nolint:wrapcheck // As net.Conn.
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and removes it from the network.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr returns the address on which the listener listens.
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
