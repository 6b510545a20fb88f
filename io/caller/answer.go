package caller

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"monsoondale/core"
	"monsoondale/core/dispatch"
	"monsoondale/core/order"
	"monsoondale/core/workspace"
)

// run drives an accepted request, counts it, and answers by the given function unless it failed.
func (x *exchange) run(k workspace.Kind, q dispatch.Request, answer func(dispatch.Outcome), fail func(dispatch.Failure)) {
	l := Labels{Workspace: x.ws.ID, Tier: k.Tier, Kind: k.ID, AtMostOnce: k.AtMostOnce}
	done := x.opts.Recorder.Accepted(l)
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

// service passes a request on to a plain service.
func (x *exchange) service() {
	service, path := x.r.PathValue("service"), "/"+x.r.PathValue("path")
	k, ok := x.ws.KindForService(service, x.r.Method, path)
	if !ok || x.r.Method == http.MethodConnect { // CONNECT asks for a tunnel, not for an answer
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

// writeReply passes on a whole writeReply.
func (x *exchange) writeReply(out dispatch.Outcome) {
	if r := out.Replay; r != nil {
		x.writeBody(r.Status, r.Media, r.Body)
		return
	}
	x.writeBody(out.Reply.Status, out.Reply.Media, out.Reply.Body)
}

// chat serves a chat by a model engine.
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
	send, err := c.engineBody(k.ModelSpec.Model)
	if err != nil {
		x.reject(core.CodeBadRequest, "%v", err)
		return
	}
	work := dispatch.ChatWork{Body: send, Choices: c.choices}
	if k.AtMostOnce {
		work.Key = x.r.Header.Get(headerIdempotencyKey)
	}
	var names modelRenamer
	if k.ModelSpec.Model != "" {
		names.model = mustMarshal(string(k.ID))
	}
	whole := &collector{limit: x.opts.MaxAnswerBytes, renamer: names}
	if !c.stream {
		work.Sink = whole
		q.Work = work
		x.run(k, q, x.writeReply, x.fail)
		return
	}
	s := &streamWriter{exchange: x, includeUsage: c.includeUsage, names: names}
	if k.AtMostOnce {
		s.whole = whole
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
		_ = s.send("", "[DONE]") // the caller may be gone
	}, s.fail)
}

// streamWriter passes events on as they come.
type streamWriter struct {
	*exchange
	includeUsage bool // pass on a chunk that carries nothing but token counts
	names        modelRenamer
	whole        *collector // set for orders, whose answer is recorded

	mu             sync.Mutex // guards writes and the fields below
	started        bool
	keepAliveTimer *time.Timer // runs out when a comment is due; nil before the first event
	closed         bool        // no comment may follow
}

// Event passes on an event.
func (s *streamWriter) Event(e dispatch.Event) error {
	if s.whole != nil {
		if err := s.whole.Event(e); err != nil {
			return err
		}
	}
	if e.UsageOnly && !s.includeUsage {
		return nil
	}
	err := s.send("", s.names.rename(e.Data))
	if s.whole != nil {
		return nil // an order goes on without its caller
	}
	return err
}

// FullReply returns the complete answer of an order.
func (s *streamWriter) FullReply() (dispatch.Reply, error) {
	if s.whole == nil {
		return dispatch.Reply{}, nil
	}
	return s.whole.FullReply()
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

// sendKeepAlive sends a comment, so that neither the caller nor a balancer takes a waiting answer for a dead connection.
// Before the first byte nothing is sent, so that a failure can still have its own status.
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

// stopKeepAlive ends the comments. It must be called before the handler returns, as nothing may be written afterwards.
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

// fail reports a failure: by status before the first event, by an error event and no end mark afterwards.
func (s *streamWriter) fail(f dispatch.Failure) {
	s.stopKeepAlive()
	if !s.started {
		s.exchange.fail(f)
		return
	}
	b, err := json.Marshal(dispatch.NewErrorBody(f))
	if err != nil {
		panic(err) // strings and integers always encode
	}
	_ = s.send("error", string(b))
}

// replay streams a recorded answer as a single chunk.
func (s *streamWriter) replay(res order.Result) {
	chunk, err := asChunk(res.Body)
	if res.Status != http.StatusOK || err != nil {
		s.writeBody(res.Status, res.Media, res.Body)
		return
	}
	if s.send("", string(chunk)) == nil {
		_ = s.send("", "[DONE]")
	}
}
