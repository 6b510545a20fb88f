package roundtrip

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoondale/common/carried"
	"monsoondale/core"
)

// maxIdle is the number of idle connections that are kept under one key.
const maxIdle = 64

// poolKey identifies the connections that may be used for a request.
type poolKey struct {
	address string
	path    string // of requests with EchoOptional, empty for all others
}

// conn is a connection, which serves one request at a time.
type conn struct {
	*http.ClientConn
	key     poolKey
	carried carried.IDs
	expiry  *time.Timer // closes the connection when it has been idle for idleTimeout
}

// pool holds idle connections. It is safe for concurrent use.
type pool struct {
	transport   *http.Transport
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   map[poolKey][]*conn // the most recently used ones last
	closed bool
}

// get returns an idle connection that has not carried the id, or else a new one.
func (p *pool) get(ctx context.Context, key poolKey, id core.RequestID) (*conn, error) {
	if cn := p.take(key, id); cn != nil {
		return cn, nil
	}
	cc, err := p.transport.NewClientConn(ctx, "http", key.address)
	if err != nil {
		return nil, err
	}
	return &conn{ClientConn: cc, key: key}, nil
}

// take removes and returns the most recently used idle connection that has not carried the id, or nil if there is none.
func (p *pool) take(key poolKey, id core.RequestID) *conn {
	hash := carried.Hash(string(id))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle[key]) - 1; i >= 0; i-- {
		cn := p.idle[key][i]
		open := cn.Available() > 0
		if open && cn.carried.Has(hash) {
			continue
		}
		p.remove(cn)
		if open {
			return cn
		}
	}
	return nil
}

// remove removes a connection and reports whether it was idle. The caller holds mu.
func (p *pool) remove(cn *conn) bool {
	list := p.idle[cn.key]
	i := slices.Index(list, cn)
	if i < 0 {
		return false
	}
	cn.expiry.Stop()
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(p.idle, cn.key)
	} else {
		p.idle[cn.key] = list
	}
	return true
}

// put keeps a connection whose response was read to its end, and closes any other.
func (p *pool) put(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || cn.Available() == 0 || cn.carried.Full() || len(p.idle[cn.key]) >= maxIdle {
		cn.Close()
		return
	}
	cn.expiry = time.AfterFunc(p.idleTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.remove(cn) {
			cn.Close()
		}
	})
	p.idle[cn.key] = append(p.idle[cn.key], cn)
}

// close closes all idle connections, and those in use after their response.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, cn := range list {
			cn.expiry.Stop()
			cn.Close()
		}
	}
	clear(p.idle)
}

// releasingBody releases the connection of a response when it is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body.
func (b *releasingBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
