package processtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay carries TCP between an entry host and the platform, and can be cut.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
	// carried counts the bytes in both directions.
	carried atomic.Int64
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
		r.cut(true)
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// cut closes all connections and refuses new ones, or lets them through again.
func (r *relay) cut(isCut bool) {
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
		if err != nil || !r.keep(in, out) {
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

func (r *relay) keep(conns ...net.Conn) bool {
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
	_, _ = io.Copy(to, io.TeeReader(from, counter{&r.carried}))
	_ = from.Close()
	_ = to.Close()
}

// counter counts what is written to it.
type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
