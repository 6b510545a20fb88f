package caller

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"monsoondale/common/peerconn"
	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/core/order"
	"monsoondale/core/workspace"
)

// run runs an accepted request and records it. It calls answer if the request succeeded, else fail.
func (x *exchange) run(k workspace.Kind, q dispatch.Request, answer func(dispatch.Outcome), fail func(dispatch.Failure)) {
	labels := Labels{Workspace: x.ws.ID, Tier: k.Tier, Kind: k.ID, AtMostOnce: k.AtMostOnce}
	done := x.opts.Recorder.Accepted(labels)
	q.CallerLeft = func() bool { return peerconn.Closed(x.r.Context()) }
	out := x.opts.Runner.Run(x.r.Context(), q)
	if out.Failed() {
		fail(out.Failure)
	} else {
		answer(out)
	}
	done(summarize(out, time.Since(x.start)))
	if out.RecordResult != nil {
		x.beginBackground()
		go func() {
			defer x.end()
			out.RecordResult()
		}()
	}
}

// service forwards a request to a plain service.
func (x *exchange) service() {
	service, path := x.r.PathValue("service"), "/"+x.r.PathValue("path")
	k, ok := x.ws.KindForService(service, x.r.Method, path)
	if !ok || x.r.Method == http.MethodConnect { // CONNECT asks for a tunnel, not for a response
		x.reject(core.CodeUnknownKind, "%s %.100s of service %.60q", x.r.Method, path, service)
		return
	}
	body, ok := x.readBody()
	if !ok {
		return
	}
	q, ok := x.newRequest(k, "", body)
	if !ok {
		return
	}
	q.Work = dispatch.CallWork{Call: dispatch.CallRequest{
		Method: x.r.Method, Path: path, Query: x.r.URL.RawQuery, Header: x.r.Header, Body: body,
	}}
	x.run(k, q, x.writeReply, x.fail)
}

// writeReply writes a whole answer, either fresh or recorded.
func (x *exchange) writeReply(out dispatch.Outcome) {
	if r := out.Replay; r != nil {
		x.writeResult(*r)
		return
	}
	r := out.Reply
	x.writeResult(order.Result{Status: r.Status, Media: r.Media, Body: r.Body, Unframed: r.Unframed})
}

// chat forwards a chat to a model engine. The answer is streamed or returned complete, as the caller asked.
func (x *exchange) chat() {
	body, ok := x.readBody()
	if !ok {
		return
	}
	c, err := parseChat(body)
	if err != nil {
		x.reject(core.CodeBadRequest, "%v", err)
		return
	}
	k, ok := x.ws.KindForModel(c.model)
	if !ok {
		x.reject(core.CodeUnknownKind, "model %.60q", c.model)
		return
	}
	q, ok := x.newRequest(k, c.user, body)
	if !ok {
		return
	}
	c.estimate(&q.Ask, x.opts.DefaultTokens)
	engineBody, err := c.engineBody(k.ModelSpec.Model)
	if err != nil {
		x.reject(core.CodeBadRequest, "%v", err)
		return
	}
	work := dispatch.ChatWork{Body: engineBody, Choices: c.choices}
	if k.AtMostOnce {
		work.Key = x.r.Header.Get(headerIdempotencyKey)
	}
	var renamer modelRenamer
	if k.ModelSpec.Model != "" {
		renamer.model = mustMarshal(string(k.ID))
	}
	collected := &collector{limit: x.opts.MaxAnswerBytes, renamer: renamer}
	if !c.stream {
		work.Sink = collected
		q.Work = work
		x.run(k, q, x.writeReply, x.fail)
		return
	}
	s := &streamWriter{exchange: x, includeUsage: c.includeUsage, renamer: renamer}
	if k.AtMostOnce {
		s.collected = collected
	}
	defer s.stopKeepAlive()
	work.Sink = s
	q.Work = work
	x.run(k, q, func(out dispatch.Outcome) {
		s.stopKeepAlive()
		if out.Replay != nil {
			s.replay(*out.Replay)
			return
		}
		_ = s.send("", "[DONE]") // the caller may have disconnected
	}, s.fail)
}

// streamWriter forwards the events of an answer to the caller as they arrive.
type streamWriter struct {
	*exchange
	includeUsage bool // forward the chunk that has only token counts
	renamer      modelRenamer
	collected    *collector // the complete answer, set only for orders, which are recorded

	mu             sync.Mutex // guards writes and the fields below
	started        bool
	keepAliveTimer *time.Timer // fires when a comment is due; nil before the first event
	closed         bool        // no more comments may be sent
}

// Event forwards an event to the caller.
func (s *streamWriter) Event(e dispatch.Event) error {
	if s.collected != nil {
		if err := s.collected.Event(e); err != nil {
			return err
		}
	}
	if e.UsageOnly && !s.includeUsage {
		return nil
	}
	err := s.send("", s.renamer.rename(e.Data))
	if s.collected != nil {
		return nil // an order continues after its caller has disconnected
	}
	return err
}

// FullReply returns the complete answer of an order, or a zero Reply for other requests.
func (s *streamWriter) FullReply() (dispatch.Reply, error) {
	if s.collected == nil {
		return dispatch.Reply{}, nil
	}
	return s.collected.FullReply()
}

// send writes one event and flushes it.
func (s *streamWriter) send(typ, data string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	switch {
	case s.closed:
	case s.keepAliveTimer == nil:
		s.keepAliveTimer = time.AfterFunc(s.opts.KeepAliveInterval, s.sendKeepAlive)
	default:
		s.keepAliveTimer.Reset(s.opts.KeepAliveInterval)
	}
	m := &sse.Message{}
	if typ != "" {
		m.Type = sse.Type(typ)
	}
	m.AppendData(data)
	return s.writeMessage(m)
}

// sendKeepAlive sends a comment so that neither the caller nor a load balancer considers the connection dead. Nothing
// is sent before the first event, so that a failure can still be reported by status.
func (s *streamWriter) sendKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	m := &sse.Message{}
	m.AppendComment("waiting")
	if s.writeMessage(m) == nil {
		s.keepAliveTimer.Reset(s.opts.KeepAliveInterval)
	}
}

// stopKeepAlive stops the comments. It must be called before the handler returns, since nothing may be written later.
func (s *streamWriter) stopKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.keepAliveTimer != nil {
		s.keepAliveTimer.Stop()
	}
}

// writeMessage writes a message and flushes it. s.mu is held.
func (s *streamWriter) writeMessage(m *sse.Message) error {
	s.extendWriteDeadline()
	if _, err := m.WriteTo(s.w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(s.rc.Flush())
}

// fail reports a failure by status before the first event, and by an error event without an end mark afterwards.
func (s *streamWriter) fail(f dispatch.Failure) {
	s.stopKeepAlive()
	if !s.started {
		s.exchange.fail(f)
		return
	}
	b, err := json.Marshal(dispatch.NewErrorBody(f))
	if err != nil {
		panic(err) // strings and integers can always be encoded
	}
	_ = s.send("error", string(b))
}

// replay streams a recorded answer as a single chunk.
func (s *streamWriter) replay(res order.Result) {
	chunk, err := asChunk(res.Body)
	if res.Status != http.StatusOK || err != nil {
		s.writeResult(res)
		return
	}
	if s.send("", string(chunk)) == nil {
		_ = s.send("", "[DONE]")
	}
}
