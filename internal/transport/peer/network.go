package peer

import (
	"context"
	"net"
	"net/netip"
)

// Network connects entry hosts.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// TCP is the network of real processes.
type TCP struct{}

// Listen listens on an address.
func (TCP) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Dial connects within the time of a short call.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
