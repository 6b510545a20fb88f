package soak_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// link is a loopback proxy for TCP connections that can be harmed from outside.
type link struct {
	l      net.Listener
	target string
	harms  periods

	mu    sync.Mutex
	state linkState
	conns map[*net.TCPConn]struct{}
}

// linkState is what a link does to the bytes of its connections, old and new.
type linkState struct {
	delay        time.Duration // before each piece is passed on
	silent       bool          // nothing is passed on
	silentAnswer bool          // nothing is passed on from the target
	refuse       bool          // new connections are closed
}

// openLink returns a link to an address.
func openLink(t *testing.T, target string) *link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{l: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	t.Cleanup(func() { l.Close(); k.reset(1) })
	go k.accept()
	return k
}

func (k *link) address() string { return k.l.Addr().String() }

func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
}

func (k *link) get() linkState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// reset resets a share of the open connections.
func (k *link) reset(share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.harms.begin()()
	for c := range k.conns {
		if rand.Float64() < share {
			c.SetLinger(0)
			c.Close()
		}
	}
}

func (k *link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.connect(c.(*net.TCPConn))
	}
}

func (k *link) connect(client *net.TCPConn) {
	defer client.Close()
	if k.get().refuse {
		return
	}
	c, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	target := c.(*net.TCPConn)
	defer target.Close()
	k.mu.Lock()
	k.conns[client], k.conns[target] = struct{}{}, struct{}{}
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(target, client, func(s linkState) bool { return s.silent }) })
	wg.Go(func() { k.copy(client, target, func(s linkState) bool { return s.silent || s.silentAnswer }) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, client)
	delete(k.conns, target)
	k.mu.Unlock()
}

// copy passes on bytes, an orderly close as such, and any other end as a reset.
func (k *link) copy(dst, src *net.TCPConn, silent func(linkState) bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		for s := k.get(); ; s = k.get() {
			if !silent(s) {
				time.Sleep(s.delay)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, err := dst.Write(b[:n]); err != nil {
				src.SetLinger(0)
				src.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			dst.CloseWrite()
			return
		case err != nil:
			dst.SetLinger(0)
			dst.Close()
			return
		}
	}
}
