package main

import (
	"net"
	"sync"
)

// gate is the way to a worker, whatever its life. Its address stays.
type gate struct {
	address string

	mu      sync.Mutex
	changed *sync.Cond
	// backend is the address of the present life, empty while there is none; life numbers it.
	backend string
	life    int
	// cut is set while nothing passes; what is sent meanwhile passes afterwards.
	cut bool
}

func newGate() (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: listener.Addr().String()}
	g.changed = sync.NewCond(&g.mu)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go g.pass(near)
		}
	}()
	return g, nil
}

// set changes the gate under its lock.
func (g *gate) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	g.changed.Broadcast()
}

// goDark ends the way to the present life without a word to its clients.
func (g *gate) goDark() {
	g.set(func() {
		g.backend = ""
		g.life++
	})
}

// begin opens the way to a new life.
func (g *gate) begin(backend string) { g.set(func() { g.backend = backend }) }

func (g *gate) setCut(cut bool) { g.set(func() { g.cut = cut }) }

// open waits until nothing is cut, and reports whether a connection to a life still has it.
func (g *gate) open(life int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.cut {
		g.changed.Wait()
	}
	return g.life == life && g.backend != ""
}

// pass carries one connection. One that was opened in the dark, or to a former life, stays silent until
// its client ends it; the present life doesn't get anything of it.
func (g *gate) pass(near net.Conn) {
	defer func() { _ = near.Close() }()
	g.mu.Lock()
	for g.cut {
		g.changed.Wait()
	}
	backend, life := g.backend, g.life
	g.mu.Unlock()
	if backend == "" {
		swallow(near)
		return
	}
	far, err := net.Dial("tcp", backend)
	if err != nil {
		swallow(near)
		return
	}
	defer func() { _ = far.Close() }()
	answers := make(chan struct{})
	go func() {
		defer close(answers)
		if g.copy(near, far, life) {
			_ = near.Close()
		}
	}()
	if !g.copy(far, near, life) {
		swallow(near)
	}
	_ = far.Close()
	<-answers
}

// copy passes data on while the life lasts; it returns false if that has ended.
func (g *gate) copy(to, from net.Conn, life int) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !g.open(life) {
			return false
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return true
			}
		}
		if err != nil {
			return true
		}
	}
}

func swallow(conn net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}
