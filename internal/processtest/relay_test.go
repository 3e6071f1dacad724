package processtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections from an entry host to the platform, and can be cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
	// bytesRelayed counts the bytes in both directions.
	bytesRelayed atomic.Int64
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go r.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		r.setCut(true)
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut closes all connections, and sets whether new ones are closed or forwarded.
func (r *relay) setCut(isCut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = isCut
	for c := range r.conns {
		_ = c.Close()
	}
	r.conns = map[net.Conn]struct{}{}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.track(in, out) {
			_ = in.Close()
			if out != nil {
				_ = out.Close()
			}
			continue
		}
		go r.pipe(in, out)
		go r.pipe(out, in)
	}
}

// track records connections so that setCut can close them, and reports false if the relay
// is cut.
func (r *relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCut {
		return false
	}
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return true
}

func (r *relay) pipe(from, to net.Conn) {
	_, _ = io.Copy(to, io.TeeReader(from, countingWriter{&r.bytesRelayed}))
	_ = from.Close()
	_ = to.Close()
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ n *atomic.Int64 }

func (c countingWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
