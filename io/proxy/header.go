package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hops lists the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of a request's header for an endpoint.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	deleteHopByHop(out, h)
	return out
}

// relay copies a response's header for a caller. What dst says of the caller's connection stays.
func copyResponseHeader(dst, src http.Header) {
	own := dst["Connection"]
	for k, v := range src {
		dst[k] = v
	}
	deleteHopByHop(dst, src)
	if own != nil {
		dst["Connection"] = own
	}
}

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
