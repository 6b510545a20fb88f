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
	// streamBufferBytes is the initial size of the buffer into which events are read; it grows for larger events.
	streamBufferBytes = 2 << 10
	// maxEventBytes is the size of the largest event that is relayed.
	maxEventBytes = 1 << 20
)

// relayStream relays the events of a response as they arrive. It relays only complete events, so that another endpoint
// can continue the stream after the last one.
func (a *attempt) relayStream() (result, bool) {
	x, resp := a.x, a.resp
	var (
		buf       = make([]byte, 0, streamBufferBytes)
		events    int
		firstRead time.Time
		lastRead  time.Time
		end       error // why the stream ended; io.EOF if it is complete
	)
	defer func() {
		if events > 1 {
			x.pool.RecordEvents(a.grant, events-1, lastRead.Sub(firstRead))
		}
	}()
	for end == nil {
		if !firstRead.IsZero() && x.route.Resumable {
			resp.SetReadDeadline(time.Now().Add(streamSilenceTimeout)) // fails only on closed connections
		}
		buf = grow(buf)
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end = err
		if n > 0 {
			lastRead = time.Now()
			if firstRead.IsZero() {
				firstRead = lastRead
				a.responseBegan()
			}
		}
		complete, count, last, scanErr := scanEvents(buf, x.lastEventID)
		events += count
		if end == io.EOF && scanErr == nil {
			complete = len(buf) // bytes after the last separator belong to the response too
		}
		if complete > 0 {
			if writeErr := x.writeEvents(resp.Header, resp.StatusCode, buf[:complete]); writeErr != nil {
				x.cause = writeErr
				return x.callerLeft(), false
			}
			x.lastEventID = last
			buf = append(buf[:0], buf[complete:]...)
		}
		if scanErr != nil {
			end = scanErr
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

// writeEvents writes events to the caller and flushes them. Before the first events, it writes the response header of the
// endpoint, unless the header of an earlier endpoint has been written.
func (x *exchange) writeEvents(h http.Header, status int, events []byte) error {
	if !x.headerSent {
		copyResponseHeader(x.w.Header(), h)
		x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)) // fails only on closed connections
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

// grow returns b with spare capacity.
func grow(b []byte) []byte {
	if len(b) < cap(b) {
		return b
	}
	return append(make([]byte, 0, 2*cap(b)), b...)
}

// scanEvents returns the total length of the complete events at the beginning of b, the number of those with an id, and
// the last id. It returns an error at an event whose id does not follow the previous one; the results cover the events
// before it.
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

// eventLength returns the length of the first event including the empty line that ends it, or -1 if it is incomplete.
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

// follows reports whether id may be the id after prev. Ids that are not numbers are accepted in any order.
func follows(prev, id string) bool {
	p, err1 := strconv.ParseInt(prev, 10, 64)
	n, err2 := strconv.ParseInt(id, 10, 64)
	return err1 != nil || err2 != nil || n == p+1
}
