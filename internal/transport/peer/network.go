package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
)

const (
	// defaultMaxConns is the maximum number of connections that a TCP without a guard accepts.
	defaultMaxConns = 1024
	// defaultMaxReceived bounds the bytes of unanswered calls, in bytes, that a TCP without a
	// guard accepts.
	defaultMaxReceived = 64 << 20
)

// Network opens connections between entry hosts. The emulator has a Network of its own.
type Network interface {
	Listen(address netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// TCP is the Network over which processes connect in production.
type TCP struct {
	// Guard bounds what peers send; nil sets the defaults.
	Guard *inbound.Guard
	// MaxConns is the maximum number of open connections from peers.
	MaxConns int
}

// Listen opens a TCP listener on an address.
func (t TCP) Listen(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if t.Guard == nil {
		t.Guard, t.MaxConns = inbound.NewGuard(defaultMaxReceived, nil), defaultMaxConns
	}
	return t.Guard.Listen(listener, t.MaxConns, nil), nil
}

// Dial connects to an address within callTimeout.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
