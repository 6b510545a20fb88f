package endpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/io/endpoint"
)

// Limits of the client that the model relies on.
const (
	modelMaxCarried  = 512
	modelMaxIdle     = 3
	modelIdleTimeout = 5 * time.Second
	modelOrderIdle   = 300 * time.Millisecond // for requests that are not idempotent
	modelSocketBytes = 64 << 10
)

// modelOp is what happens in one step of a sequence.
type modelOp byte

const (
	opSend modelOp = iota
	opAnswer
	opAnswerAndClose // the response asks to close the connection
	opRun            // the endpoint runs a request and does not respond yet
	opRefuse
	opMisdirect
	opAnswerWithoutID
	opRefuseWithoutID
	opAnswerEarly // before the body has been read
	opRefuseEarly
	opReadRest // of a body after such a response
	opTruncate // a response of which a part arrives before the connection ends
	opCopy     // of an earlier response of the connection
	opCopies
	opClose
	opReset
	opRestart // under a new endpoint id
	opReplace // by another service, which echoes no ids
	opCancel
	opWait
	opBurst // many requests, which are answered at once
	modelOps
)

func (o modelOp) String() string {
	return [modelOps]string{
		"send", "answer", "answer and close", "run", "refuse", "misdirect", "answer without id", "refuse without id", "answer early",
		"refuse early", "read rest", "truncate", "copy", "copies", "close", "reset", "restart", "replace", "cancel", "wait", "burst",
	}[o]
}

// modelStep is one step; A and B select what it concerns.
type modelStep struct {
	Op   modelOp
	A, B byte
}

// memoryStream is one direction of a connection with a socket buffer.
type memoryStream struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	ended   bool // by the writer
	gone    bool // the reader has closed the connection
	reset   bool
}

func newMemoryStream() *memoryStream {
	s := &memoryStream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *memoryStream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.changed.Broadcast()
}

func (s *memoryStream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.gone:
			return 0, net.ErrClosed
		case s.reset:
			return 0, syscall.ECONNRESET
		case len(s.data) > 0:
			n := copy(p, s.data)
			s.data = s.data[n:]
			s.changed.Broadcast()
			return n, nil
		case s.ended:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

// write writes like a socket: bytes for a reader that has closed the connection in order are accepted and lost.
func (s *memoryStream) write(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n < len(p) {
		switch room := modelSocketBytes - len(s.data); {
		case s.ended:
			return n, net.ErrClosed
		case s.reset:
			return n, syscall.EPIPE
		case s.gone:
			return len(p), nil
		case room > 0:
			k := min(room, len(p)-n)
			s.data = append(s.data, p[n:n+k]...)
			n += k
			s.changed.Broadcast()
		default:
			s.changed.Wait()
		}
	}
	return n, nil
}

// clientConn is the client's end of a connection.
type clientConn struct {
	net.Conn // nil
	in, out  *memoryStream
}

func (c *clientConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *clientConn) Write(p []byte) (int, error) { return c.out.write(p) }
func (c *clientConn) SetDeadline(time.Time) error { return nil }

func (c *clientConn) Close() error {
	c.in.update(func() { c.in.gone = true })
	c.out.update(func() { c.out.ended = true })
	return nil
}

// modelConn is the endpoint's end of a connection.
type modelConn struct {
	in, out   *memoryStream
	carried   map[core.RequestID]bool
	requests  int
	bodyLeft  int        // bytes of the last request's body that have not been read
	paused    bool       // the endpoint reads nothing
	pending   *modelSend // it has not been responded to
	responses [][]byte
	ended     bool // by the endpoint
	// kept is set while the client must keep the connection for further requests.
	kept      bool
	idleSince time.Time
}

// closedByClient reports whether the client has closed the connection.
func (c *modelConn) closedByClient() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.ended
}

// end ends the connection.
func (c *modelConn) end(reset bool) {
	c.ended, c.kept, c.pending = true, false, nil
	c.out.update(func() { c.out.ended, c.out.reset = true, reset })
	c.in.update(func() { c.in.gone, c.in.reset = true, reset })
}

// modelSend is one call of Client.Do and what became of it.
type modelSend struct {
	number   int
	id       core.RequestID
	expected int // endpoint that the request is for
	order    bool
	size     int
	cancel   context.CancelFunc

	conn   *modelConn // on which it arrived; nil if it did not
	ran    bool
	closes bool // its response asked to close the connection

	done, judged bool
	err          error
	status       int
	notRun       bool
	body         string
	bodyErr      error
	taken, extra []string // numbers in the headers that counted as its own, and in others that arrived
	trace        endpoint.Trace
}

// addressModel is one address, the endpoints that have it in turn, and a client.
type addressModel struct {
	client   *endpoint.Client
	endpoint int  // the one that has the address
	noEcho   bool // it echoes no ids
	conns    []*modelConn
	sends    []*modelSend
	fault    error
}

func (m *addressModel) fail(format string, args ...any) {
	if m.fault == nil {
		m.fault = errors.Errorf(format, args...)
	}
}

// dial is called by one request at a time, while the steps wait.
func (m *addressModel) dial(context.Context, string, string) (net.Conn, error) {
	c := &modelConn{in: newMemoryStream(), out: newMemoryStream(), carried: map[core.RequestID]bool{}}
	m.conns = append(m.conns, c)
	return &clientConn{in: c.out, out: c.in}, nil
}

// do calls the client and reads the response to its end.
func (m *addressModel) do(ctx context.Context, s *modelSend) {
	defer func() { s.done = true }()
	resp, err := m.client.Do(ctx, "address", endpoint.Request{
		ID: s.id, Method: "POST", Target: "/", Host: "h", Body: make([]byte, s.size), NonIdempotent: s.order, Trace: &s.trace,
		Peer:   endpoint.Peer{ID: "e", Incarnation: int64(s.expected)},
		Header: http.Header{"Request": {string(s.id)}, "Number": {strconv.Itoa(s.number)}},
		OnHeader: func(r *http.Response, matched bool) {
			if n := r.Header.Get("Number"); matched {
				s.taken = append(s.taken, n)
			} else {
				s.extra = append(s.extra, n)
			}
		},
	})
	if err != nil {
		s.err = err
		return
	}
	defer resp.Close()
	s.status, s.notRun = resp.StatusCode, resp.Header.Get("Rejected") != "" || resp.StatusCode == http.StatusMisdirectedRequest
	b, err := io.ReadAll(resp.Body)
	s.body, s.bodyErr = string(b), err
	if err == nil {
		resp.MarkBodyRead()
	}
}

// send sends a request and checks that it opens a connection only if no other one can serve it.
func (m *addressModel) send(id core.RequestID, expected int, order bool, size int) *modelSend {
	s := &modelSend{number: len(m.sends), id: id, expected: expected, order: order, size: size}
	m.sends = append(m.sends, s)
	needed := !slices.ContainsFunc(m.conns, func(c *modelConn) bool { return c.suits(s) })
	opened := len(m.conns)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go m.do(ctx, s)
	m.settle()
	if len(m.conns) > opened && !needed {
		m.fail("request %d (%q) opened a connection although another one had not carried its id", s.number, s.id)
	}
	return s
}

// suits reports whether the client must use an idle connection for a request if it has no better one.
func (c *modelConn) suits(s *modelSend) bool {
	idle := time.Since(c.idleSince)
	return c.kept && !c.closedByClient() && s.id != "" && !c.carried[s.id] && idle < modelIdleTimeout && (!s.order || idle < modelOrderIdle)
}

// settle waits until nothing happens any more, and checks what has happened.
func (m *addressModel) settle() {
	synctest.Wait()
	for _, c := range m.conns {
		m.receive(c)
	}
	for _, s := range m.sends {
		if s.done && !s.judged {
			s.judged = true
			m.judge(s)
		}
	}
}

// receive reads the header of the next request on a connection.
func (m *addressModel) receive(c *modelConn) {
	if c.ended {
		return
	}
	if c.pending == nil && !c.paused {
		c.drain()
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if c.bodyLeft > 0 || c.pending != nil || len(c.in.data) == 0 {
		return
	}
	if !bytes.HasPrefix(c.in.data, []byte("POST ")) {
		m.fail("bytes of two requests are mixed on a connection that has carried %d", c.requests)
		return
	}
	end := bytes.Index(c.in.data, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.in.data[:end+4])))
	if err != nil {
		m.fail("request on a connection that has carried %d: %v", c.requests, err)
		return
	}
	c.in.data = c.in.data[end+4:]
	n, _ := strconv.Atoi(req.Header.Get("Number"))
	s := m.sends[n]
	c.bodyLeft = int(req.ContentLength)
	c.requests++
	if c.carried[s.id] {
		m.fail("request %d: id %q arrived for the second time on a connection", n, s.id)
	}
	if c.requests > modelMaxCarried {
		m.fail("connection has carried %d requests", c.requests)
	}
	if s.conn != nil {
		m.fail("request %d arrived twice", n)
	}
	if s.concludedNotRun() {
		m.fail("request %d arrived although it counts as not run", n)
	}
	c.carried[s.id] = true
	c.pending, s.conn, c.kept = s, c, false
}

// concludedNotRun reports whether the caller takes the request for one that has not run.
func (s *modelSend) concludedNotRun() bool {
	var unsent *endpoint.NotSentError
	return s.done && (errors.As(s.err, &unsent) || s.err == nil && s.notRun)
}

// judge checks the outcome of a request.
func (m *addressModel) judge(s *modelSend) {
	own := strconv.Itoa(s.number)
	for _, n := range s.taken {
		if n != own {
			m.fail("request %d took the response to request %s for its own", s.number, n)
		}
	}
	for _, n := range s.extra {
		if i, _ := strconv.Atoi(n); m.sends[i].expected != s.expected && !s.trace.MultiplePeers {
			m.fail("request %d: the response to request %s, which was for another endpoint, seems to be from its own", s.number, n)
		}
	}
	var unsent *endpoint.NotSentError
	switch {
	case errors.As(s.err, &unsent) && s.conn != nil:
		m.fail("request %d arrived, and counts as not sent", s.number)
	case s.concludedNotRun() && s.ran:
		m.fail("request %d ran, and counts as not run", s.number)
	case s.err == nil && s.bodyErr == nil && s.body != own:
		m.fail("request %d got the body %q", s.number, s.body)
	}
	if c := s.conn; c != nil && s.err == nil && s.bodyErr == nil && !c.ended {
		idle := 0
		for _, o := range m.conns {
			if !o.closedByClient() && !m.inUse(o) { // one that the endpoint has ended counts until the client notices
				idle++
			}
		}
		if idle > modelMaxIdle {
			m.fail("%d idle connections", idle)
		}
		sound := s.size == 0 && !s.closes && c.requests < modelMaxCarried
		if c.idleSince = time.Now(); sound && c.closedByClient() {
			m.fail("connection of request %d closed although it could serve others", s.number)
		}
		c.kept = sound
	}
}

// inUse reports whether a request of the client is on a connection, read or not.
func (m *addressModel) inUse(c *modelConn) bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.data) > 0 || slices.ContainsFunc(m.sends, func(s *modelSend) bool { return s.conn == c && !s.done })
}

// drain reads what has arrived of the last request's body.
func (c *modelConn) drain() {
	c.in.update(func() {
		n := min(c.bodyLeft, len(c.in.data))
		c.in.data, c.bodyLeft = c.in.data[n:], c.bodyLeft-n
	})
}

// readBody reads the body of the pending request to its end, and reports whether that was possible.
func (c *modelConn) readBody() bool {
	for c.bodyLeft > 0 {
		left := c.bodyLeft
		if c.drain(); c.bodyLeft == left {
			return false
		}
		synctest.Wait()
	}
	return true
}

// respond writes a response to the pending request. Those that are refusals are written only if it has not run.
func (m *addressModel) respond(c *modelConn, op modelOp, status string) {
	s := c.pending
	refusal := op == opRefuse || op == opMisdirect || op == opRefuseWithoutID || op == opRefuseEarly
	if refusal && s.ran {
		return
	}
	if early := op == opAnswerEarly || op == opRefuseEarly; !early && !c.readBody() {
		return
	}
	if s.expected != m.endpoint {
		refusal, status = true, "421 Misdirected Request"
	}
	h := fmt.Sprintf("HTTP/1.1 %s\r\nNumber: %d\r\n", status, s.number)
	if refusal {
		h += "Rejected: 1\r\n"
	} else {
		s.ran = true
	}
	if op != opAnswerWithoutID && op != opRefuseWithoutID && !m.noEcho {
		h += "Echo: " + string(s.id) + "\r\n"
	}
	if op == opAnswerAndClose {
		s.closes = true
		h += "Connection: close\r\n"
	}
	body := strconv.Itoa(s.number)
	r := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", h, len(body), body)
	c.pending, c.paused = nil, c.bodyLeft > 0
	if op == opTruncate {
		c.write(r[:len(r)-1])
		c.end(false)
		return
	}
	c.responses = append(c.responses, r)
	c.write(r)
}

// write sends bytes, and never waits for room.
func (c *modelConn) write(b []byte) { c.out.update(func() { c.out.data = append(c.out.data, b...) }) }

// pick returns the selected one of the connections that match, or nil.
func (m *addressModel) pick(a byte, match func(*modelConn) bool) *modelConn {
	var list []*modelConn
	for _, c := range m.conns {
		if !c.ended && match(c) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[int(a)%len(list)]
}

func (m *addressModel) step(st modelStep) {
	waits := m.pick(st.A, func(c *modelConn) bool { return c.pending != nil })
	switch st.Op {
	case opSend:
		id := core.RequestID(fmt.Sprint("r", len(m.sends)))
		switch n := len(m.sends); {
		case st.A%16 == 15:
			id = ""
		case st.A%2 == 1 && n > 0:
			id = m.sends[n-1-int(st.A/2)%min(n, 4)].id
		}
		size := []int{0, 0, 0, 20 << 10, 100 << 10}[st.B/4%5]
		m.send(id, max(0, m.endpoint-int(st.B/32%2)), st.B%2 == 1, size)
	case opCopy, opCopies:
		c := m.pick(st.A, func(c *modelConn) bool { return len(c.responses) > 0 })
		if c == nil {
			return
		}
		c.kept = false // the client may close it on finding that bytes have arrived
		for i := range 1 + int(st.Op-opCopy)*2 {
			c.write(c.responses[(int(st.B)+i)%len(c.responses)])
		}
	case opReadRest:
		if c := m.pick(st.A, func(c *modelConn) bool { return c.paused }); c != nil {
			c.paused = false
		}
	case opClose, opReset:
		if c := m.pick(st.A, func(*modelConn) bool { return true }); c != nil {
			c.end(st.Op == opReset)
		}
	case opRestart, opReplace:
		for _, c := range m.conns {
			if !c.ended {
				c.end(st.B%2 == 1)
			}
		}
		m.endpoint, m.noEcho = m.endpoint+1, st.Op == opReplace
	case opCancel:
		if n := len(m.sends); n > 0 {
			m.sends[int(st.A)%n].cancel()
		}
	case opWait:
		time.Sleep([]time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second}[st.A%3])
	case opBurst:
		for i := range 130 {
			s := m.send(core.RequestID(fmt.Sprint("b", len(m.sends))), m.endpoint, i%2 == 0, 0)
			if s.conn == nil || m.fault != nil {
				return
			}
			m.respond(s.conn, opAnswer, "200 OK")
			m.settle()
		}
	default:
		if waits == nil {
			return
		}
		switch st.Op {
		case opRun:
			waits.pending.ran = waits.pending.ran || waits.pending.expected == m.endpoint
		case opRefuse, opRefuseEarly:
			m.respond(waits, st.Op, []string{"503 Service Unavailable", "429 Too Many Requests"}[st.B%2])
		case opMisdirect:
			m.respond(waits, st.Op, "421 Misdirected Request")
		case opRefuseWithoutID:
			m.respond(waits, st.Op, []string{"400 Bad Request", "503 Service Unavailable"}[st.B%2])
		default:
			m.respond(waits, st.Op, []string{"200 OK", "500 Internal Server Error"}[st.B%2])
		}
	}
}

// play plays a sequence and returns the first violation.
func play(t *testing.T, steps []modelStep) (fault error) {
	synctest.Test(t, func(*testing.T) {
		m := &addressModel{}
		m.client = endpoint.New(endpoint.Options{RequestIDHeader: "Echo", MaxIdle: modelMaxIdle, Dial: m.dial})
		for i, st := range steps {
			if m.step(st); m.fault == nil {
				m.settle()
			}
			if m.fault != nil {
				fault = errors.WithMessagef(m.fault, "step %d, %v", i, st.Op)
				break
			}
		}
		for _, s := range m.sends {
			s.cancel()
		}
		for _, c := range m.conns {
			c.end(true)
		}
		m.client.CloseIdleExcept(func(string) bool { return false })
	})
	return fault
}

// modelWeights is how often each step is drawn.
var modelWeights = [modelOps]int{
	opSend: 14, opAnswer: 6, opAnswerAndClose: 1, opRun: 2, opRefuse: 6, opMisdirect: 3, opAnswerWithoutID: 1, opRefuseWithoutID: 1, opAnswerEarly: 1,
	opRefuseEarly: 1, opReadRest: 1, opTruncate: 1, opCopy: 6, opCopies: 1, opClose: 1, opReset: 1, opRestart: 1, opReplace: 1, opCancel: 2, opWait: 2, opBurst: 1,
}

// Guards against a response that counts for a send to which it does not belong, and against "not run" for a request that runs, whatever
// copies of earlier responses an endpoint writes and whichever endpoint has the address; also against an id that goes over a connection
// twice, a response from a request for another endpoint that seems to be from the endpoint itself, connections that remember ids without an
// end, and connections opened or closed although one could serve the request.
func TestResponsesBelongToSends(t *testing.T) {
	var ops []modelOp
	for op, n := range modelWeights {
		ops = append(ops, slices.Repeat([]modelOp{modelOp(op)}, n)...)
	}
	step := rapid.Custom(func(t *rapid.T) modelStep {
		return modelStep{Op: rapid.SampledFrom(ops).Draw(t, "op"), A: rapid.Byte().Draw(t, "a"), B: rapid.Byte().Draw(t, "b")}
	})
	rapid.Check(t, func(rt *rapid.T) {
		if err := play(t, rapid.SliceOfN(step, 20, 80).Draw(rt, "steps")); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against the same faults as TestResponsesBelongToSends, in sequences made of any bytes.
func FuzzResponsesBelongToSends(f *testing.F) {
	seed := func(steps ...modelStep) {
		var b []byte
		for _, st := range steps {
			b = append(b, byte(st.Op), st.A, st.B)
		}
		f.Add(b)
	}
	again := modelStep{opSend, 1, 0} // with the id of the last one
	seed(modelStep{opSend, 0, 0}, modelStep{opRefuse, 0, 0}, again, modelStep{opRun, 0, 0}, modelStep{opCopy, 0, 0}, modelStep{opAnswer, 0, 0})
	seed(modelStep{opSend, 0, 0}, modelStep{opMisdirect, 0, 0}, modelStep{opCopies, 0, 0}, again, modelStep{opAnswer, 0, 0})
	seed(modelStep{opSend, 0, 0}, modelStep{opAnswerWithoutID, 0, 0}, modelStep{opSend, 0, 0}, modelStep{opCopy, 0, 0}, modelStep{opAnswer, 0, 0})
	seed(modelStep{opSend, 0, 16}, modelStep{opRefuseEarly, 0, 0}, again, modelStep{opReadRest, 0, 0}, modelStep{opAnswer, 0, 0}, modelStep{opRestart, 0, 1}, again, modelStep{opAnswer, 0, 0})
	seed(modelStep{opBurst, 0, 0}, modelStep{opBurst, 0, 0}, modelStep{opBurst, 0, 0}, modelStep{opBurst, 0, 0}, modelStep{opBurst, 0, 0})
	seed(modelStep{opSend, 15, 0}, modelStep{opRefuseWithoutID, 0, 0}, modelStep{opReplace, 0, 0}, modelStep{opSend, 0, 0}, modelStep{opAnswer, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var steps []modelStep
		for len(b) >= 3 && len(steps) < 200 {
			steps = append(steps, modelStep{Op: modelOp(b[0]) % modelOps, A: b[1], B: b[2]})
			b = b[3:]
		}
		if err := play(t, steps); err != nil {
			t.Fatal(err, steps)
		}
	})
}
