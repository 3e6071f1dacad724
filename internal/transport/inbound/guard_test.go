package inbound

import (
	"net"
	"testing"
	"time"
)

// pair returns a connection that a guarded listener has accepted, and its client.
func pair(t *testing.T, l *Listener) (*Conn, net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c.(*Conn), client
}

func listenWith(t *testing.T, g *Guard, maxConns int) *Listener {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	return g.Listen(raw, maxConns, func() Limits {
		return Limits{MaxHeaderBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	})
}

func receive(t *testing.T, c *Conn, client net.Conn, size int) {
	t.Helper()
	if _, err := client.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	data := make([]byte, size)
	for left := size; left > 0; {
		n, err := c.Read(data[:left])
		if left -= n; err != nil {
			return
		}
	}
}

// TestBudgetShedsTheLargest guards against a budget that closes small requests, or requests that
// are being carried out, in place of the largest that still arrives.
func TestBudgetShedsTheLargest(t *testing.T) {
	g := NewGuard(10_000, nil)
	l := listenWith(t, g, 10)
	executing, executingClient := pair(t, l)
	receive(t, executing, executingClient, 6000)
	executing.Execute()
	large, largeClient := pair(t, l)
	receive(t, large, largeClient, 3000)
	small, smallClient := pair(t, l)
	receive(t, small, smallClient, 10)
	last, lastClient := pair(t, l)
	receive(t, last, lastClient, 1000)
	if executing.closed.Load() || small.closed.Load() || last.closed.Load() || !large.closed.Load() {
		t.Errorf("closed: executing %t, small %t, last %t, large %t; want only the large one",
			executing.closed.Load(), small.closed.Load(), last.closed.Load(), large.closed.Load())
	}
	for _, c := range []*Conn{executing, small, last} {
		c.Idle()
	}
	if held := g.received.Load(); held != 0 {
		t.Errorf("%d bytes are held after all requests; want 0", held)
	}
}

// TestNewConnectionReplacesTheLongestWaiting guards against silent clients that keep others out,
// and against a connection that is closed although its request is being carried out.
func TestNewConnectionReplacesTheLongestWaiting(t *testing.T) {
	l := listenWith(t, NewGuard(0, nil), 4)
	executing, _ := pair(t, l)
	executing.Execute()
	longest, _ := pair(t, l)
	time.Sleep(time.Millisecond)
	later, _ := pair(t, l)
	newest, _ := pair(t, l)
	if executing.closed.Load() || later.closed.Load() || newest.closed.Load() || !longest.closed.Load() {
		t.Errorf("closed: executing %t, longest %t, later %t, newest %t; want only the longest waiting",
			executing.closed.Load(), longest.closed.Load(), later.closed.Load(), newest.closed.Load())
	}
	if l.open != 3 {
		t.Errorf("%d connections count as open; want 3, the share of one address", l.open)
	}
}
