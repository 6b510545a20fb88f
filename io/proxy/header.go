package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that are not relayed: those that apply to a single connection, Content-Length and
// Expect.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// headerBytes returns the size of a request's first line and header, without spaces that do not count and headers that net/http
// has removed.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host) + len("\r\n")
	for k, values := range r.Header {
		for _, v := range values {
			n += len(k) + len(": \r\n") + len(v)
		}
	}
	return n
}

// forwardHeader returns a copy of a request header without the hop-by-hop headers.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	deleteHopByHop(out, h)
	return out
}

// copyResponseHeader copies a response header without the hop-by-hop headers. A Connection header in dst stays, since it
// concerns the connection to the caller.
func copyResponseHeader(dst, src http.Header) {
	connection := dst["Connection"]
	for k, v := range src {
		dst[k] = v
	}
	deleteHopByHop(dst, src)
	if connection != nil {
		dst["Connection"] = connection
	}
}

// deleteHopByHop deletes from dst the hop-by-hop headers and the headers that the Connection header of src lists.
func deleteHopByHop(dst, src http.Header) {
	for _, v := range src.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				dst.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}
