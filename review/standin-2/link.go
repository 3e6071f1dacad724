package main

import (
	"net"
	"sync"
	"time"
)

// linkChunk is how much of one connection passes a link before the next one has its turn.
const linkChunk = 8 << 10

// link is the way from the store to one entry host: all its connections share its bandwidth.
type link struct {
	target         string
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

// listen passes connections on to the target, on a loopback address.
func (l *link) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(near)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) pass(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	closeBoth := func() {
		_ = near.Close()
		_ = far.Close()
	}
	go func() {
		copyChunks(far, near, func(int) {})
		closeBoth()
	}()
	copyChunks(near, far, l.wait)
	closeBoth()
}

// wait returns once the link has carried n more bytes.
func (l *link) wait(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func copyChunks(to, from net.Conn, wait func(n int)) {
	buffer := make([]byte, linkChunk)
	for {
		n, err := from.Read(buffer)
		wait(n)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
