package framing_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"monsoondale/common/framing"
)

// Guards against taking the end of a connection for the stated end of a response.
func TestOf(t *testing.T) {
	for _, c := range []struct {
		name, method, response string
		want                   framing.Framing
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", framing.Length},
		{"length of zero", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", framing.Length},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", framing.Chunks},
		{"chunks and a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", framing.Chunks},
		{"neither", "GET", "HTTP/1.1 200 OK\r\n\r\nab", framing.Close},
		{"neither, and the connection ends", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", framing.Close},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nab", framing.Close},
		{"HTTP/1.0 with a length", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", framing.Length},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", framing.Empty},
		{"status without a body", "GET", "HTTP/1.1 204 No Content\r\n\r\n", framing.Length},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: c.method})
			g.Expect(err).ToNot(HaveOccurred())
			defer r.Body.Close()
			g.Expect(framing.Of(r)).To(Equal(c.want))
		})
	}
}
