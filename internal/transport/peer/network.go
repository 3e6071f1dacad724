package peer

import (
	"context"
	"net"
	"net/netip"
)

// Network opens connections between entry hosts. The emulator has a Network of its own.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// TCP is the Network over which processes connect in production.
type TCP struct{}

// Listen opens a TCP listener on an address.
func (TCP) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Dial connects to an address within callTimeout.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
