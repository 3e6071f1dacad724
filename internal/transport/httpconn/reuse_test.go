package httpconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

// TestEventOfAClosedConnection guards against a new connection that is closed, with its
// request perhaps run, because the poller still holds an event of a closed connection with
// the same descriptor.
func TestEventOfAClosedConnection(t *testing.T) {
	const attempts = 20
	for range attempts {
		if reuseDescriptor(t) {
			return
		}
	}
	t.Fatalf("no new connection got the descriptor of the old one in %d attempts", attempts)
}

// reuseDescriptor reports whether the new connection got the descriptor of the old one.
func reuseDescriptor(t *testing.T) bool {
	t.Helper()
	finish, descriptors := make(chan struct{}), make(chan int, 2)
	server := listenOnEngine(t, func(w http.ResponseWriter, r *http.Request) {
		descriptors <- descriptor(w)
		if r.URL.Path == "/old" {
			<-finish
		}
	})
	// The new client's end takes the descriptor of the old one's, the accepted socket takes
	// this, and the server's copy of that socket the old one of the server.
	spare := openNull(t)
	oldClient := dialAndAsk(t, server.Addrs[0], "/old")
	old := <-descriptors
	takeBelow(t, old)

	first, second := newBlocker(t, server, old), newBlocker(t, server, old)
	first.block(t)
	second.poke(t)
	_ = oldClient.Close()
	close(first.release)
	<-second.blocked
	// The poller has read the event of the old connection and not yet acted on it.
	close(finish)
	eventually(t, "the old descriptor is closed", func() bool {
		_, err := unix.FcntlInt(uintptr(old), unix.F_GETFD, 0)
		return err != nil
	})
	_ = spare.Close()
	newClient := dialAndAsk(t, server.Addrs[0], "/new")
	// A server that doesn't wait for the poller hands it the new connection meanwhile.
	time.Sleep(50 * time.Millisecond)
	close(second.release)
	answer, err := http.ReadResponse(bufio.NewReader(newClient), nil)
	if err != nil {
		t.Fatalf("the new connection was closed, with %d of its requests begun: %v", len(descriptors), err)
	}
	_ = answer.Body.Close()
	return <-descriptors == old
}

// listenOnEngine starts an nbhttp server whose connections are adopted by an engine, as those of
// a client are.
func listenOnEngine(t testing.TB, handler http.HandlerFunc) *engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var e *engine
	e, err = newEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{listener.Addr().String()}, Handler: handler, MaxLoad: 20000,
		Listen:         func(string, string) (net.Listener, error) { return adopter{listener, e}, nil },
		ServerExecutor: func(f func()) { go f() },
	})
	if err != nil {
		t.Fatal(err)
	}
	orderOpenBeforeData(e.Engine)
	if err := e.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.stop)
	return e
}

// adopter hands accepted connections over to an engine.
type adopter struct {
	net.Listener
	engine *engine
}

func (a adopter) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.engine.adopt(c)
}

// orderOpenBeforeData shows the race detector a happens-before relation that otherwise
// runs through the kernel: the accepting goroutine sets a connection up before the poller
// reads data from it.
func orderOpenBeforeData(engine *nbhttp.Engine) {
	var opened atomic.Int64
	engine.OnOpen(func(net.Conn) { opened.Add(1) })
	engine.OnData(func(c *nbio.Conn, data []byte) {
		_ = opened.Load()
		c.DataHandler()(c, data)
	})
}

func descriptor(w http.ResponseWriter) int {
	return w.(*nbhttp.Response).Parser.Conn.(*nbhttp.Conn).Conn.(*nbio.Conn).Hash() //nolint:forcetypeassert // Fails the test.
}

func dialAndAsk(t *testing.T, address, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	return c
}

func openNull(t *testing.T) *os.File {
	t.Helper()
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// takeBelow takes the free descriptors below a limit.
func takeBelow(t *testing.T, limit int) {
	t.Helper()
	for int(openNull(t).Fd()) < limit {
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for ctx := timeout(t); !condition(); time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// blocker is a connection whose data blocks its poller until it is released.
type blocker struct {
	probe            *probe
	blocked, release chan struct{}
}

func newBlocker(t *testing.T, e *engine, descriptor int) *blocker {
	t.Helper()
	p, err := newProbe(descriptor%e.NPoller, e.NPoller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	b := &blocker{probe: p, blocked: make(chan struct{}), release: make(chan struct{})}
	p.far.OnData(func(*nbio.Conn, []byte) {
		close(b.blocked)
		<-b.release
	})
	if _, err := e.AddConn(p.far); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *blocker) poke(t *testing.T) {
	t.Helper()
	if _, err := b.probe.near.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
}

func (b *blocker) block(t *testing.T) {
	t.Helper()
	b.poke(t)
	<-b.blocked
}
