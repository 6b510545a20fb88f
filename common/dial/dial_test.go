package dial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"monsoondale/common/dial"
)

// Guards against connections that take minutes to fail after the remote host has stopped responding, because the kernel
// retransmits for that long by default.
func TestAckTimeout(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	defer l.Close()
	d := dial.New(dial.Options{Timeout: time.Second, AckTimeout: 1200 * time.Millisecond, KeepAliveIdle: time.Second, KeepAliveProbes: 1})
	c, err := d.Dial("tcp4", l.Addr().String())
	g.Expect(err).ToNot(HaveOccurred())
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	g.Expect(err).ToNot(HaveOccurred())
	var timeout int
	g.Expect(raw.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})).To(Succeed())
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(timeout).To(Equal(1200))
}
