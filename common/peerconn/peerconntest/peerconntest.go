// Package peerconntest tells tests what the peer of a TCP connection has read.
package peerconntest

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ResetDelay is how long after the end of a connection the reset may arrive that answers bytes that were not read. It is waited for in
// full only if nothing was lost on the way, so it may be long.
const ResetDelay = 10 * time.Second

// Unread reports whether the peer had not read all that was sent on a connection that it has closed: its kernel then answers with a reset.
// That reset may follow the end of the connection, which a read reports first. awaited is how long it may take.
func Unread(c net.Conn, awaited time.Duration) (bool, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, errors.New("not a socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	for end := time.Now().Add(awaited); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		var failure error
		if err := raw.Control(func(fd uintptr) { info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
			return false, err
		}
		if failure != nil {
			return false, failure
		}
		if reset := info.State == unix.BPF_TCP_CLOSE; reset || time.Now().After(end) {
			return reset, nil
		}
	}
}
