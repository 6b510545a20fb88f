// Package dial opens TCP connections that fail soon when the other end has fallen silent.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configures a dialer.
type Options struct {
	Timeout time.Duration // to open a connection
	// AckTimeout is how long sent bytes may stay unacknowledged before the kernel gives the connection up.
	AckTimeout time.Duration
	// KeepAliveIdle is how long a connection may be idle before it is probed, and Probes how many probes, a second apart, may
	// stay unanswered.
	KeepAliveIdle   time.Duration
	KeepAliveProbes int
}

// New returns a dialer.
func New(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAliveIdle, Interval: time.Second, Count: o.KeepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctl := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.AckTimeout.Milliseconds()))
			})
			if ctl != nil {
				return ctl
			}
			return err
		},
	}
}
