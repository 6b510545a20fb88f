package peerconn_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/peerconn"
)

// accept returns both ends of a connection through a listener.
func accept(t *testing.T) (peer *net.TCPConn, accepted *peerconn.Conn) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	l := peerconn.NewListener(inner, 1)
	t.Cleanup(func() { l.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).ToNot(HaveOccurred())
	t.Cleanup(func() { c.Close() })
	a, err := l.Accept()
	g.Expect(err).ToNot(HaveOccurred())
	t.Cleanup(func() { a.Close() })
	return c.(*net.TCPConn), a.(*peerconn.Conn)
}

// Guards against a close that is not noticed behind unread bytes, and against taking unread bytes for a close.
func TestPeerClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(peer *net.TCPConn)
		closed bool
	}{
		{"idle", func(*net.TCPConn) {}, false},
		{"unread bytes", func(p *net.TCPConn) { fmt.Fprint(p, "bytes") }, false},
		{"closed", func(p *net.TCPConn) { p.Close() }, true},
		{"closed after unread bytes", func(p *net.TCPConn) { fmt.Fprint(p, "bytes"); p.Close() }, true},
		{"sending side closed", func(p *net.TCPConn) { p.CloseWrite() }, true},
		{"reset", func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			peer, accepted := accept(t)
			g.Expect(accepted.PeerClosed()).To(BeFalse())
			c.act(peer)
			if c.closed {
				g.Eventually(accepted.PeerClosed, "1s", "1ms").Should(BeTrue())
			} else {
				g.Consistently(accepted.PeerClosed, "20ms", "1ms").Should(BeFalse())
			}
			accepted.Close()
			g.Expect(accepted.PeerClosed()).To(BeTrue())
		})
	}
}

// Guards against a request that goes on because its context does not end with the connection.
func TestClosedEndsContext(t *testing.T) {
	g := NewWithT(t)
	peer, accepted := accept(t)
	ctx, stop := peerconn.Watch(peerconn.WithConn(context.Background(), accepted))
	defer stop()
	g.Expect(peerconn.Closed(ctx)).To(BeFalse())
	peer.Close()
	g.Eventually(func() bool { return peerconn.Closed(ctx) }, "1s", "1ms").Should(BeTrue())
	g.Expect(context.Cause(ctx)).To(Equal(peerconn.ErrClosed))
}

// Guards against more open connections than the limit, and against a limit that closed connections still use up.
func TestOpenConnectionsAreLimited(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	l := peerconn.NewListener(inner, 2)
	defer l.Close()
	accepted := make(chan net.Conn, 3)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp4", l.Addr().String())
		g.Expect(err).ToNot(HaveOccurred())
		defer c.Close()
	}
	var first net.Conn
	g.Eventually(accepted, "1s").Should(Receive(&first))
	g.Eventually(accepted, "1s").Should(Receive())
	g.Consistently(accepted, "50ms").ShouldNot(Receive())
	first.Close()
	first.Close() // gives back one place only
	g.Eventually(accepted, "1s").Should(Receive())
}

// Guards against a close that nobody notices because nobody reads from the connection.
func TestWatchEndsWithConnection(t *testing.T) {
	g := NewWithT(t)
	peer, accepted := accept(t)
	ctx, stop := peerconn.Watch(peerconn.WithConn(context.Background(), accepted))
	defer stop()
	fmt.Fprint(peer, "bytes of the next request")
	g.Consistently(ctx.Done(), "300ms").ShouldNot(BeClosed())
	peer.Close()
	g.Eventually(ctx.Done(), "400ms").Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(Equal(peerconn.ErrClosed))
}

// Guards against checks that go on without requests, and against checks that do not start again.
func TestWatchesStartAndStopChecks(t *testing.T) {
	g := NewWithT(t)
	peer, accepted := accept(t)
	withConn := peerconn.WithConn(context.Background(), accepted)
	before := runtime.NumGoroutine()
	_, stop := peerconn.Watch(withConn)
	stop()
	g.Eventually(runtime.NumGoroutine, "1s").Should(BeNumerically("<=", before))
	ctx, stop := peerconn.Watch(withConn)
	defer stop()
	peer.Close()
	g.Eventually(ctx.Done(), "400ms").Should(BeClosed())
}

// Guards against an abandoned response that its caller takes as complete because the connection ended in order, and against
// a reset after a complete one.
func TestResetOnClose(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   []bool
		reset bool
	}{
		{"never set", nil, false},
		{"set", []bool{true}, true},
		{"set and unset", []bool{true, false}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			peer, accepted := accept(t)
			for _, reset := range c.set {
				g.Expect(accepted.ResetOnClose(reset)).To(Succeed())
			}
			fmt.Fprint(accepted, "bytes")
			accepted.Close()
			b, err := io.ReadAll(peer)
			g.Expect(string(b)).To(Equal("bytes"))
			if c.reset {
				g.Expect(err).To(MatchError(syscall.ECONNRESET))
			} else {
				g.Expect(err).ToNot(HaveOccurred())
			}
		})
	}
}
