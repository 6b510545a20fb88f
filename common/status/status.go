// Package status tells final responses from interim ones, and from what is no response at all.
package status

import (
	"net/http"

	"github.com/pkg/errors"
)

// MaxInterim is the number of interim responses that are read before a final one. Endpoints are asked for none.
const MaxInterim = 3

// ErrUndefined reports a head that is no HTTP response. What follows it may be anything and must not be read as a response.
var ErrUndefined = errors.New("not an HTTP response")

// Check reports whether a head is that of an interim response, which a final one follows (RFC 9110, section 15). It fails with
// ErrUndefined for a status that HTTP does not define, for a switch to another protocol, which is never asked for, and for an interim
// response that promises a body, which it can't have: a faulty endpoint may have sent one.
func Check(code int, h http.Header) (interim bool, err error) {
	switch {
	case code < 100 || code > 599 || code == http.StatusSwitchingProtocols:
		return false, errors.Wrapf(ErrUndefined, "status %03d", code)
	case code >= 200:
		return false, nil
	case len(h["Content-Length"]) > 0: // chunks need no check: the size of the first one can't be read as a head
		return false, errors.Wrapf(ErrUndefined, "status %03d with a body", code)
	}
	return true, nil
}
