package httpconn

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pool holds the connections to one address. Each open connection, idle or in use, holds
// one of a bounded number of tokens.
type pool struct {
	client  *Client
	address netip.AddrPort
	tokens  chan struct{}

	mu   sync.Mutex
	idle []*conn
}

func newPool(c *Client, address netip.AddrPort) *pool {
	return &pool{client: c, address: address, tokens: make(chan struct{}, c.maxConns)}
}

// get returns an idle connection, or dials a new one if there is none or newConn is set.
func (p *pool) get(ctx context.Context, newConn bool) (*conn, error) {
	if !newConn {
		if cn := p.popIdle(); cn != nil {
			return cn, nil
		}
	}
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	cn, err := dial(ctx, p.client, p.address)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	return cn, nil
}

// acquire waits for a token to open a connection. If none is free, it closes an idle
// connection to release one.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.tokens <- struct{}{}:
		return nil
	default:
	}
	if cn := p.popIdle(); cn != nil {
		p.drop(cn)
	}
	select {
	case p.tokens <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "all %d connections to %s are in use", cap(p.tokens), p.address)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if there is
// none. It drops those that have closed or were idle for too long.
func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		cn := p.idle[last]
		p.idle = p.idle[:last]
		if !cn.isClosed() && time.Since(cn.idleSince) < p.client.idleLimit {
			return cn
		}
		p.drop(cn)
	}
	return nil
}

// put returns a connection to the pool, or closes it if it can't be reused.
func (p *pool) put(cn *conn, usable bool) {
	if !usable || cn.isClosed() {
		p.drop(cn)
		return
	}
	cn.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, cn)
	p.mu.Unlock()
}

// drop closes a connection and releases its token.
func (p *pool) drop(cn *conn) {
	cn.close()
	<-p.tokens
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		p.drop(cn)
	}
	p.idle = nil
}

// closeIdleConns closes the idle connections, but not those in use.
func (p *pool) closeIdleConns() { p.closeIdle() }

func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tokens), len(p.idle)
}
