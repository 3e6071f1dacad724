package httpconn

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pool holds the connections to one address. A token stands for the right to
// have one connection open.
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

// take gives an idle connection or dials one.
func (p *pool) take(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
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

// acquire waits for the right to open a connection; an idle one makes room.
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

func (p *pool) give(cn *conn, usable bool) {
	if !usable || cn.isClosed() {
		p.drop(cn)
		return
	}
	cn.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, cn)
	p.mu.Unlock()
}

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

func (p *pool) closeAll() { p.closeIdle() }

func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tokens), len(p.idle)
}
