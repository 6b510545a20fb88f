// Package endless is a stand-in for a faulty HTTP server that sends bytes without end.
package endless

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Most is the number of bytes after which a server stops, so that a reader without a limit does not exhaust the memory of
// the test machine.
const Most = 128 << 20

// sendBufferBytes is the size of the kernel's send buffer. A fixed one keeps the kernel from adding megabytes that nobody reads.
const sendBufferBytes = 64 << 10

// Server responds to the first request on each connection with a start and a part that is repeated.
type Server struct {
	Address string
	// Sent receives the number of bytes that were sent on a connection, those in kernel buffers included.
	Sent chan int
}

// Start starts a server, which ends with the test.
func Start(t testing.TB, start, repeat string) *Server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{Address: l.Addr().String(), Sent: make(chan int, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, start, repeat)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, start, repeat string) {
	defer c.Close()
	if err := c.(*net.TCPConn).SetWriteBuffer(sendBufferBytes); err != nil {
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := c.Write([]byte(start))
	block := []byte(strings.Repeat(repeat, 64<<10/len(repeat)))
	for err == nil && n < Most {
		var m int
		m, err = c.Write(block)
		n += m
	}
	s.Sent <- n
}
