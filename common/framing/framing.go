// Package framing tells what indicates the end of an HTTP response.
package framing

import "net/http"

// Framing is what indicates the end of a response (RFC 9112, section 6.3).
type Framing string

const (
	Empty  Framing = "empty" // the header, since the response has no body
	Length Framing = "length"
	Chunks Framing = "chunks" // the last chunk, or the end of an HTTP/2 stream
	// Close is the end of the connection. A response that was cut off by the end of its sender looks the same.
	Close Framing = "close"
)

// Of returns the framing of a response that was read by net/http.
func Of(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0 || r.ProtoMajor > 1:
		return Chunks
	case r.ContentLength >= 0:
		return Length
	case r.Body == http.NoBody:
		return Empty
	}
	return Close
}
