// Package resets keeps the reset of a connection from looking like its orderly end.
package resets

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection of which Read returns io.EOF only if it was not reset. The kernel reports a reset only once, to whichever of
// reading and writing comes first; the other one then sees an orderly end.
type Conn struct {
	net.Conn
	mu     sync.Mutex // held while Write runs
	failed error      // of a write
}

// Write writes as net.Conn does.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	// EPIPE: the end that was read came before.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) {
		c.failed = err
	}
	return n, err
}

// past is a deadline that makes every write fail.
var past = time.Unix(1, 0)

// Read reads as net.Conn does. At the end of the connection, it ends a write that is in progress and returns the error that this or an
// earlier write met.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.Conn.SetWriteDeadline(past) // fails only on closed connections
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		err = errors.Wrap(c.failed, "write")
	}
	return n, err
}
