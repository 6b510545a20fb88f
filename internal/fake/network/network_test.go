package network

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a network that is more reliable than a real one: bytes that pass a cut, dials that succeed without a
// listener, or connections that outlive a process.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name     string
		fault    func(n *Network)
		dial     error  // expected error of a new connection from a to b
		forward  string // received from a within a second; "-" for nothing, "!" for a reset
		backward string // as forward, from b to a
	}{
		{"no fault", func(*Network) {}, nil, "x", "y"},
		{"cut from a to b", func(n *Network) { n.Cut("a", "b") }, context.DeadlineExceeded, "-", "y"},
		{"cut from b to a", func(n *Network) { n.Cut("b", "a") }, context.DeadlineExceeded, "x", "-"},
		{"frozen", func(n *Network) { n.Freeze("b") }, nil, "-", "-"},
		{"healed", func(n *Network) { n.Cut("a", "b"); n.Freeze("b"); n.Heal() }, nil, "x", "y"},
		{"broken", func(n *Network) { n.ResetConns("a", "b") }, nil, "!", "!"},
		{"killed", func(n *Network) { n.Kill("b") }, syscall.ECONNREFUSED, "!", "!"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := New(time.Millisecond)
				l, err := n.Host("b").Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				dial := func() (net.Conn, error) {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return n.Host("a").DialContext(ctx, "tcp", l.Addr().String())
				}
				c, err := dial()
				g.Expect(err).NotTo(HaveOccurred())
				s, err := l.Accept()
				g.Expect(err).NotTo(HaveOccurred())
				tc.fault(n)
				transfer := func(from, to net.Conn, text string) string {
					if _, err := from.Write([]byte(text)); err != nil {
						return "!"
					}
					g.Expect(to.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
					b := make([]byte, 10)
					k, err := to.Read(b)
					if ne, ok := err.(net.Error); ok && ne.Timeout() {
						return "-"
					}
					return string(b[:k])
				}
				g.Expect(transfer(c, s, "x")).To(Equal(tc.forward))
				g.Expect(transfer(s, c, "y")).To(Equal(tc.backward))
				d, err := dial()
				if tc.dial == nil {
					g.Expect(err).NotTo(HaveOccurred())
					d.Close()
				} else {
					g.Expect(err).To(MatchError(tc.dial))
					g.Expect(err).To(BeAssignableToTypeOf(&net.OpError{}))
				}
				n.Heal()
				c.Close()
				if tc.forward != "!" {
					g.Expect(s.SetReadDeadline(time.Time{})).To(Succeed())
					_, err = io.ReadAll(s)
					g.Expect(err).NotTo(HaveOccurred()) // the end of the stream arrives
				}
				s.Close()
				l.Close()
			})
		})
	}
}
