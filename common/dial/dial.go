// Package dial configures dialers whose TCP connections fail quickly when the remote host stops responding.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options configures a dialer.
type Options struct {
	Timeout time.Duration // for opening a connection
	// AckTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	AckTimeout time.Duration
	// KeepAliveIdle is how long a connection may be idle before keep-alive probes are sent.
	KeepAliveIdle time.Duration
	// KeepAliveProbes is the number of unanswered probes, one second apart, after which the connection is closed.
	KeepAliveProbes int
}

// New returns a dialer.
func New(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAliveIdle, Interval: time.Second, Count: o.KeepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.AckTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}
