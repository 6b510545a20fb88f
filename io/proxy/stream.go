package proxy

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core/pool"
)

const (
	// streamBuffer is the size in bytes of the buffer that events are read into; it grows for larger events.
	streamBufferBytes = 2 << 10
	// eventLimit is the largest event in bytes.
	maxEventBytes = 1 << 20
)

// stream passes the events of a response on as they arrive. Only whole events are passed on, so that another endpoint
// can continue after the last one.
func (a *attempt) relayStream() (result, bool) {
	x, resp := a.x, a.resp
	var (
		buf    = make([]byte, 0, streamBufferBytes)
		events int
		began  time.Time
		latest time.Time
		end    error
	)
	defer func() {
		if events > 1 {
			x.pool.RecordEvents(a.grant, events-1, latest.Sub(began))
		}
	}()
	for end == nil {
		if !began.IsZero() && x.route.Resumable {
			resp.SetReadDeadline(time.Now().Add(streamSilenceTimeout)) // fails only on connections that are gone
		}
		buf = grow(buf)
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end = err
		if n > 0 {
			latest = time.Now()
			if began.IsZero() {
				began = latest
				a.responseBegan()
			}
		}
		whole, count, last, serr := scanEvents(buf, x.lastEventID)
		events += count
		if end == io.EOF && serr == nil {
			whole = len(buf) // what follows the last separator belongs to the response too
		}
		if whole > 0 {
			if werr := x.writeEvents(resp.Header, resp.StatusCode, buf[:whole]); werr != nil {
				x.cause = werr
				return x.callerLeft(), false
			}
			x.lastEventID = last
			buf = append(buf[:0], buf[whole:]...)
		}
		if serr != nil {
			end = serr
		}
		if len(buf) > maxEventBytes {
			end = errTooLarge
		}
	}
	if end != io.EOF {
		if errors.Is(end, os.ErrDeadlineExceeded) && a.ctx.Err() == nil {
			end = errNoResponse
		}
		return a.handleBroken(end)
	}
	resp.MarkBodyRead()
	a.outcome = pool.Served
	a.responseBegan()
	if err := x.writeEvents(resp.Header, resp.StatusCode, nil); err != nil {
		x.cause = err
		return x.callerLeft(), false
	}
	return result{status: resp.StatusCode, reason: "served"}, false
}

// pass writes events to the caller at once, after the header of the first endpoint's response.
func (x *exchange) writeEvents(h http.Header, status int, events []byte) error {
	if !x.headerSent {
		copyResponseHeader(x.w.Header(), h)
		x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)) // fails only on connections that are gone
		x.w.WriteHeader(status)
		x.headerSent = true
	}
	if len(events) == 0 {
		return nil
	}
	if x.firstByte.IsZero() {
		x.firstByte = time.Now()
	}
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(x.rc.Flush(), "write to the caller")
}

// grow makes room for more bytes.
func grow(b []byte) []byte {
	if len(b) < cap(b) {
		return b
	}
	return append(make([]byte, 0, 2*cap(b)), b...)
}

// scan returns the length and the number of the complete events at the beginning of b, and the id of the last one. An
// event whose id does not follow that of the one before is an error; the events before it count.
func scanEvents(b []byte, last string) (n, events int, id string, err error) {
	id = last
	for {
		end := eventLength(b[n:])
		if end < 0 {
			return n, events, id, nil
		}
		if v, ok := eventID(b[n : n+end]); ok {
			if !follows(id, v) {
				return n, events, id, errEventOrder
			}
			id = v
			events++
		}
		n += end
	}
}

// separator returns the length of the first event with the empty line that ends it, or -1.
func eventLength(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	}
	return -1
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// follows reports whether an event id may come after another one. Ids that are not numbers cannot be compared.
func follows(before, id string) bool {
	b, err1 := strconv.ParseInt(before, 10, 64)
	n, err2 := strconv.ParseInt(id, 10, 64)
	return err1 != nil || err2 != nil || n == b+1
}
