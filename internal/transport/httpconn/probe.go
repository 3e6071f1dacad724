package httpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// probe is a pair of sockets. A poller reads from the far one and returns each byte.
type probe struct {
	far  *nbio.Conn
	near net.Conn

	mu sync.Mutex
	// next is the turn that the next byte waits for, nil if nobody waits for it.
	next *turn
	// busy is set while a byte is under way.
	busy bool
}

// turn is one turn of a poller's loop.
type turn struct {
	begun chan struct{}
	err   error
}

// newProbe makes a probe for one of a number of pollers. nbio chooses the poller of a
// connection by its descriptor, and makes the descriptor the lowest that is free, which
// another goroutine may take first.
func newProbe(index, pollers int) (*probe, error) {
	for {
		p, err := newAnyProbe(index, pollers)
		if err != nil {
			return nil, err
		}
		if p.far.Hash()%pollers == index {
			return p, nil
		}
		p.close()
	}
}

func newAnyProbe(index, pollers int) (*probe, error) {
	near, far, err := socketPair()
	if err != nil {
		return nil, err
	}
	release, err := freeDescriptor(index, pollers)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(near.Close(), far.Close()))
	}
	defer release()
	c, err := nbio.NBConn(far)
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(near.Close(), far.Close()))
	}
	c.OnData(func(c *nbio.Conn, data []byte) { _, _ = c.Write(data) })
	return &probe{far: c, near: near}, nil
}

// awaitTurn returns once the poller's loop has begun a turn that was not under way at the
// call, or fails once the poller is stopped. All that wait at the same time share a turn.
func (p *probe) awaitTurn() error {
	p.mu.Lock()
	if p.next == nil {
		p.next = &turn{begun: make(chan struct{})}
	}
	t := p.next
	if !p.busy {
		p.busy = true
		go p.run()
	}
	p.mu.Unlock()
	<-t.begun
	return t.err
}

// run sends a byte to the poller for each turn that somebody waits for.
func (p *probe) run() {
	for {
		p.mu.Lock()
		t := p.next
		p.next, p.busy = nil, t != nil
		p.mu.Unlock()
		if t == nil {
			return
		}
		t.err = p.echo()
		close(t.begun)
	}
}

func (p *probe) echo() error {
	one := make([]byte, 1)
	if _, err := p.near.Write(one); err != nil {
		return errors.Wrap(err, "write to a poller")
	}
	_, err := io.ReadFull(p.near, one)
	return errors.Wrap(err, "wait for a poller")
}

func (p *probe) close() {
	_ = p.far.Close()
	_ = p.near.Close()
}

// freeDescriptor takes descriptors until the lowest that is free has the given remainder.
// The caller must release them.
func freeDescriptor(remainder, divisor int) (release func(), err error) {
	var taken []*os.File
	release = func() {
		for _, f := range taken {
			_ = f.Close()
		}
	}
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			release()
			return nil, errors.Wrap(err, "take a file descriptor")
		}
		if int(f.Fd())%divisor == remainder {
			return release, f.Close()
		}
		taken = append(taken, f)
	}
}

func socketPair() (near, far net.Conn, err error) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a socket pair")
	}
	nearFile, farFile := os.NewFile(uintptr(pair[0]), "near"), os.NewFile(uintptr(pair[1]), "far")
	defer func() { _, _ = nearFile.Close(), farFile.Close() }()
	if near, err = net.FileConn(nearFile); err != nil {
		return nil, nil, errors.Wrap(err, "make a socket pair")
	}
	if far, err = net.FileConn(farFile); err != nil {
		return nil, nil, errors.CombineErrors(err, near.Close())
	}
	return near, far, nil
}
