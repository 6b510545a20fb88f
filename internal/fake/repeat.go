package fake

import (
	"net"
	"sync"
)

// maxRepeated is the size in bytes of the largest response that is written once more.
const maxRepeated = 64 << 10

// RepeatResponses returns a ListenFunc for faulty servers: when the next request arrives on a connection, the response to the
// one before is written once more, before that to the request.
func RepeatResponses(listen ListenFunc) ListenFunc {
	return func(network, address string) (net.Listener, error) {
		l, err := listen(network, address)
		if err != nil {
			return nil, err
		}
		return repeatingListener{l}, nil
	}
}

type repeatingListener struct{ net.Listener }

func (l repeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c}, nil
}

// repeatingConn writes what was written since the last read once more when something else is read.
type repeatingConn struct {
	net.Conn
	mu      sync.Mutex
	written []byte
}

func (c *repeatingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.written) <= maxRepeated {
			_, _ = c.Conn.Write(c.written) // the next write reports the error as well
		}
		c.written = nil
	}
	return n, err
}

func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.written) <= maxRepeated {
		c.written = append(c.written, b...)
	}
	return c.Conn.Write(b)
}
