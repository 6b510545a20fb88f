package proxy

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/framing"
	"monsoondale/core/handover"
	"monsoondale/core/pool"
	"monsoondale/core/route"
)

// standbyState is the state of an attempt that began as a standby.
type standbyState struct {
	number    handover.Standby
	opened    chan struct{}     // closed when the standby has responded or failed; nil for other attempts
	returning bool              // it was sent to an endpoint that had been given up
	reserved  int64             // bytes of buffers
	kept      bool              // it had the request when it was opened
	notRun    bool              // it has ended, and the endpoint did not run the request
	alone     bool              // it no longer works beside the first endpoint; the overlap has been recorded
	response  *bufferedResponse // an error, with which the endpoint has responded
}

// wasStandby reports whether the attempt began as a standby.
func (a *attempt) wasStandby() bool { return a.standby.opened != nil }

// settled reports whether the attempt began as a standby and has responded or failed.
func (a *attempt) settled() bool {
	if !a.wasStandby() {
		return false
	}
	select {
	case <-a.standby.opened:
		return true
	default:
		return false
	}
}

// openAndProve sends the request of a standby and reads the beginning of the response. It runs in the goroutine of a timer, where a
// panic would end the process.
func (a *attempt) openAndProve(p *standbyPlan) (o pool.Outcome, err error) {
	defer func() {
		if v := recover(); v != nil {
			a.x.logPanic(v, stageRun)
			a.err = errPanic
			o, err = pool.Broken, errPanic
		}
	}()
	a.open(func() {})
	if o, err = a.prove(p); o == pool.Broken {
		a.recordCrash(err)
	}
	return o, err
}

// mayHaveRun reports whether the endpoint may have run the request.
func (a *attempt) mayHaveRun() bool {
	_, _, notRun := a.outcomeIfNotRun()
	return !notRun
}

// prove reads the beginning of a standby's response until it shows that the endpoint serves the request: the first event of a
// stream, or the whole of another response.
func (a *attempt) prove(p *standbyPlan) (pool.Outcome, error) {
	if o, reason, ok := a.outcomeIfNotRun(); ok {
		return o, errors.New(reason)
	}
	if err := a.failure(); err != nil {
		return pool.Broken, err
	}
	if !a.succeeded() { // the first endpoint may do better
		return a.proveError()
	}
	begun := p.status != 0
	if begun && (a.resp.StatusCode != p.status || a.resp.Header.Get("Content-Type") != p.contentType) {
		return pool.Broken, errOtherContent
	}
	if _, _, err := a.prefetch(begun); err != nil {
		return prefetchOutcome(err), err
	}
	if a.x.route.Kind == route.Stream {
		a.x.pool.RecordBytes(time.Now(), a.grant)
	}
	return pool.Served, nil
}

// prefetchOutcome returns the outcome of an attempt whose response could not be read.
func prefetchOutcome(err error) pool.Outcome {
	if errors.Is(err, errBodyMemory) { // not the endpoint's fault
		return pool.Cancelled
	}
	return pool.Broken
}

// proveError reads a response that reports an error. It is relayed if no endpoint does better.
func (a *attempt) proveError() (pool.Outcome, error) {
	body, whole, err := a.prefetch(false)
	if err != nil {
		return prefetchOutcome(err), err
	}
	if whole {
		a.standby.response = &bufferedResponse{status: a.resp.StatusCode, header: a.resp.Header, framing: a.resp.Framing, body: body}
	}
	o := pool.Served
	if a.resp.StatusCode >= http.StatusInternalServerError {
		o = pool.ServerError
	}
	return o, errors.Errorf("status %d", a.resp.StatusCode)
}

// prefetch reads the beginning of the response as far as prove needs it, and reports whether that is the whole. What it has read, and an
// error of the connection, are read again by whoever reads the body next: the standby may have got the request meanwhile.
func (a *attempt) prefetch(begun bool) (buf []byte, whole bool, err error) {
	stream := a.x.route.Kind == route.Stream && a.succeeded()
	limit := maxBufferedBytes
	if stream {
		limit = maxEventBytes
	}
	body := a.resp.Body
	rest := io.Reader(body)
	defer func() { a.resp.Body = prefetchedBody{io.MultiReader(bytes.NewReader(buf), rest), body} }()
	for proven := false; !proven && !whole; {
		if len(buf) > limit {
			return buf, false, errTooLarge
		}
		if len(buf) == cap(buf) {
			size := max(2*cap(buf), streamBufferBytes)
			if !a.x.handler.memory.reserve(size, 1) {
				return buf, false, errBodyMemory
			}
			a.standby.reserved += int64(size)
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil && err != io.EOF {
			rest = failedReader{err} // after a reset, a connection may report an orderly end
			return buf, false, err
		}
		whole = err == io.EOF
		if !stream {
			continue
		}
		events, err := scanEvents(buf, a.after, begun)
		if err != nil {
			return buf, false, err
		}
		proven = events.numbered+events.unnumbered > 0
		if whole && !proven && (a.resp.Framing == framing.Close || !isComment(buf)) {
			return buf, false, errNoEvents
		}
	}
	return buf, whole, nil
}

// prefetchedBody is a body of which a part has been read.
type prefetchedBody struct {
	io.Reader
	io.Closer
}

// failedReader is the rest of a body that could not be read.
type failedReader struct{ err error }

func (r failedReader) Read([]byte) (int, error) { return 0, r.err }
