package proxy

import (
	"bytes"
	"io"
	"iter"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/framing"
	"monsoondale/core/pool"
)

const (
	// streamBufferBytes is the initial size of the buffer into which events are read; it grows for larger events.
	streamBufferBytes = 2 << 10
	// maxEventBytes is the size of the largest event that is relayed; an event has a few hundred bytes.
	maxEventBytes = 64 << 10
	// slowWrite is the time that a write to a slow caller takes from which on an endpoint may cut off the response, as nothing of it is
	// read meanwhile.
	slowWrite = time.Second
)

// errMissingEvent reports that a stream ended without an event of which another endpoint had sent a part.
var errMissingEvent = errors.New("stream ended before an event that another endpoint had begun")

// relayStream relays the events of a response as they arrive. It relays only complete events, so that another endpoint
// can continue the stream after the last one.
func (a *attempt) relayStream() (result, bool) {
	x, resp := a.x, a.resp
	continued := x.headerWritten
	if continued && (resp.StatusCode != x.begunStatus || resp.Header.Get("Content-Type") != x.w.Header().Get("Content-Type")) {
		return a.handleFailedAttempt(errOtherContent)
	}
	var (
		buf       = make([]byte, 0, streamBufferBytes)
		numbered  int // number of events with an id; only the intervals between these are recorded
		hasEvents bool
		firstRead time.Time
		lastRead  time.Time
		longest   time.Duration // between two reads
		endErr    error         // why the stream ended; io.EOF if it is complete
	)
	defer func() {
		if numbered > 1 {
			x.pool.RecordEvents(a.grant, numbered-1, lastRead.Sub(firstRead), longest)
		}
	}()
	for endErr == nil {
		var err error
		if buf, err = ensureSpace(buf, a.awaitStreamMemory); err != nil {
			return a.handleFailedAttempt(err)
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		endErr = err
		if n > 0 {
			now := time.Now()
			if !lastRead.IsZero() {
				longest = max(longest, now.Sub(lastRead))
			}
			lastRead = now
			x.pool.RecordBytes(lastRead, a.grant)
			if firstRead.IsZero() {
				firstRead = lastRead
				a.recordResponseStart()
				a.watchSilence()
			}
			if lastRead.Sub(firstRead) >= provenAfter {
				a.recordServed()
			}
		}
		events, scanErr := scanEvents(buf, x.lastEventID, continued)
		numbered += events.numbered
		hasEvents = hasEvents || events.numbered+events.unnumbered > 0
		completeLen, rest := events.length, buf[events.length:]
		x.unfinishedBytes = len(rest)
		if endErr == io.EOF && scanErr == nil {
			if endErr = a.checkEnd(rest, hasEvents); endErr == io.EOF {
				completeLen = len(buf) // lines after the last event belong to the response too
			}
		}
		if completeLen > 0 {
			if !a.keepsRequest() {
				return a.handleFailedAttempt(errNoResponse)
			}
			written := time.Now()
			if writeErr := a.writeEvents(buf[:completeLen]); writeErr != nil {
				return x.endForWriteError(writeErr), false
			}
			a.unread = time.Since(written) >= slowWrite
			x.lastEventID = events.lastID
			x.notResumable = x.notResumable || events.unnumbered > 0
			// Bytes that complete no event are no progress.
			a.watchSilence()
			buf = append(buf[:0], buf[completeLen:]...)
		}
		if scanErr != nil {
			endErr = scanErr
		}
		if len(buf) > maxEventBytes {
			endErr = errTooLarge
		}
	}
	if endErr == io.EOF && !a.keepsRequest() {
		endErr = errNoResponse
	}
	if endErr != io.EOF {
		x.eventBegun = x.eventBegun && !hasEvents || endErr != errEventOrder && !isComment(buf)
		return a.handleFailedAttempt(endErr)
	}
	resp.MarkBodyRead()
	a.recordServed()
	a.outcome = pool.Served
	a.recordResponseStart()
	// Writes the header if the stream had no data.
	if err := a.writeEvents(nil); err != nil {
		return x.endForWriteError(err), false
	}
	return result{status: resp.StatusCode, reason: "served"}, false
}

// awaitStreamMemory is awaitMemory for a stream, whose endpoint is not silent meanwhile.
func (a *attempt) awaitStreamMemory(n int) bool {
	if a.x.reserve(n) {
		return true
	}
	a.stopWatch()
	defer a.watchSilence()
	return a.awaitMemory(n)
}

// checkEnd returns io.EOF if the end of the endpoint's response is the end of the stream, or else why it is not. rest is
// what followed the last complete event.
func (a *attempt) checkEnd(rest []byte, hasEvents bool) error {
	switch {
	case !isComment(rest) || len(rest) > 0 && !bytes.ContainsAny(rest[len(rest)-1:], "\r\n"):
		return errTruncated
	case !hasEvents && a.x.eventBegun:
		return errMissingEvent
	case a.resp.Framing != framing.Close:
		return io.EOF
	case !hasEvents:
		return errNoEvents
	case a.x.endStated:
		// An earlier endpoint stated that it would end its response with a last chunk or after a length. This one did not, and
		// events may be missing.
		return errUnknownEnd
	}
	return io.EOF
}

// writeEvents writes events to the caller and flushes them. Before the first events, it writes the response header of
// the endpoint, unless the header of an earlier endpoint has been written.
func (a *attempt) writeEvents(events []byte) error {
	x := a.x
	if !x.headerWritten {
		x.handler.setConnectionHeader(x.w.Header())
		copyResponseHeader(x.w.Header(), a.resp.Header)
		if a.resp.Framing == framing.Close || !x.r.ProtoAtLeast(1, 1) { // HTTP/1.0 has no chunks
			x.delimitByClose()
		}
		x.rc.SetWriteDeadline(x.deadline.Add(writeGrace)) // fails only on closed connections
		x.w.WriteHeader(a.resp.StatusCode)
		x.headerWritten, x.begunStatus = true, a.resp.StatusCode
	}
	if len(events) == 0 {
		return nil
	}
	x.endStated = x.endStated || a.resp.Framing != framing.Close
	now := time.Now()
	if x.firstByte.IsZero() {
		x.firstByte = now
	} else {
		x.longestPause = max(x.longestPause, now.Sub(x.lastEvents))
	}
	x.lastEvents = now
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(x.rc.Flush(), "write to the caller")
}

// scannedEvents describes the complete events at the beginning of a buffer.
type scannedEvents struct {
	length     int    // of all events in bytes
	numbered   int    // number of events with an id
	unnumbered int    // number of events without one; comments are not events
	lastID     string // id of the last event that has one
}

// scanEvents finds the complete events at the beginning of b. prevID is the id of the event before b. It returns an error
// at an event whose id does not follow the previous one; the result covers the events before it. With needIDs, an event
// without an id is an error too: in a stream that another endpoint continues, it may be the text of an error.
func scanEvents(b []byte, prevID string, needIDs bool) (scannedEvents, error) {
	s := scannedEvents{lastID: prevID}
	for {
		n := eventLength(b[s.length:])
		if n < 0 {
			return s, nil
		}
		event := b[s.length : s.length+n]
		id, ok := eventID(event)
		switch {
		case ok && !follows(s.lastID, id):
			return s, errEventOrder
		case ok:
			s.lastID = id
			s.numbered++
		case isComment(event):
		case needIDs:
			return s, errEventOrder
		default:
			s.unnumbered++
		}
		s.length += n
	}
}

// isComment reports whether all lines are comments or empty.
func isComment(event []byte) bool {
	for line := range lines(event) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// eventEnds are an empty line and the end of the line before it. The line before "\n\r\n" may end with CRLF.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// eventLength returns the length of the first event including the empty line that ends it, or -1 if it is incomplete.
func eventLength(b []byte) int {
	length := -1
	for _, end := range eventEnds {
		if i := bytes.Index(b, end); i >= 0 {
			length = i + len(end)
			b = b[:length] // only an earlier end matters
		}
	}
	return length
}

// lines returns the lines of an event that are not empty, without their ends.
func lines(event []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' })
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// follows reports whether id may be the id after prev. Ids that are not numbers are accepted in any order, and
// so is the first id, for which prev is empty.
func follows(prev, id string) bool {
	p, err1 := strconv.ParseInt(prev, 10, 64)
	n, err2 := strconv.ParseInt(id, 10, 64)
	return err1 != nil || err2 != nil || n == p+1
}
