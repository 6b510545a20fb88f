package main

import (
	"net"
	"sync"
)

// link is a proxy between one gateway and the store. While it is cut, it passes nothing on, and tells neither side.
type link struct {
	l      net.Listener
	target string

	mu     sync.Mutex
	change *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool
}

func openLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{l: l, target: target, conns: map[net.Conn]bool{}}
	k.change = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.l.Addr().String() }

// set cuts the link, or heals it. Connections of before are then reset.
func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
		k.resetAll()
	}
	k.change.Broadcast()
}

// resetAll resets all connections. The caller holds mu.
func (k *link) resetAll() {
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0) // fails only on closed connections
		}
		c.Close()
	}
	clear(k.conns)
}

func (k *link) close() {
	k.l.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut, k.closed = false, true
	k.resetAll()
	k.change.Broadcast()
}

// await waits until the link is not cut, and reports whether it is open.
func (k *link) await() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.change.Wait()
	}
	return !k.closed
}

func (k *link) accept() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.conns[c] = true
		k.mu.Unlock()
		go k.connect(c)
	}
}

func (k *link) connect(c net.Conn) {
	defer c.Close()
	if !k.await() {
		return
	}
	s, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.conns[s] = true
	k.mu.Unlock()
	go k.pass(s, c)
	k.pass(c, s)
}

// pass passes bytes on while the link is not cut.
func (k *link) pass(from, to net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if !k.await() {
			return
		}
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
