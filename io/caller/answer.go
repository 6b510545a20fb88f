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
	ended := x.o.Recorder.Accepted(l)
	out := x.o.Runner.Run(x.r.Context(), q)
	if out.Failed() {
		fail(out.Failure)
	} else {
		answer(out)
	}
	ended(ending(out, time.Since(x.start)))
	if out.RecordResult != nil {
		x.join()
		go func() {
			defer x.leave()
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
	body, ok := x.body()
	if !ok {
		return
	}
	q, ok := x.accept(k, "", body)
	if !ok {
		return
	}
	q.Work = dispatch.CallWork{Call: dispatch.CallRequest{
		Method: x.r.Method, Path: path, Query: x.r.URL.RawQuery, Header: x.r.Header, Body: body,
	}}
	x.run(k, q, x.answer, x.fail)
}

// answer passes on a whole answer.
func (x *exchange) answer(out dispatch.Outcome) {
	if r := out.Replay; r != nil {
		x.write(r.Status, r.Media, r.Body)
		return
	}
	x.write(out.Reply.Status, out.Reply.Media, out.Reply.Body)
}

// chat serves a chat by a model engine.
func (x *exchange) chat() {
	body, ok := x.body()
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
	q, ok := x.accept(k, c.user, body)
	if !ok {
		return
	}
	c.estimate(&q.Ask, x.o.DefaultTokens)
	send, err := c.encode(k.ModelSpec.Model)
	if err != nil {
		x.reject(core.CodeBadRequest, "%v", err)
		return
	}
	work := dispatch.ChatWork{Body: send, Choices: c.choices}
	if k.AtMostOnce {
		work.Key = x.r.Header.Get(headerKey)
	}
	var names renamer
	if k.ModelSpec.Model != "" {
		names.model = encode(string(k.ID))
	}
	whole := &collector{limit: x.o.MaxAnswerBytes, names: names}
	if !c.stream {
		work.Sink = whole
		q.Work = work
		x.run(k, q, x.answer, x.fail)
		return
	}
	s := &stream{exchange: x, usage: c.usage, names: names}
	if k.AtMostOnce {
		s.whole = whole
	}
	defer s.quiet()
	work.Sink = s
	q.Work = work
	x.run(k, q, func(out dispatch.Outcome) {
		s.quiet()
		if out.Replay != nil {
			s.replay(*out.Replay)
			return
		}
		_ = s.send("", "[DONE]") // the caller may be gone
	}, s.fail)
}

// stream passes events on as they come.
type stream struct {
	*exchange
	usage bool // pass on a chunk that carries nothing but token counts
	names renamer
	whole *collector // set for orders, whose answer is recorded

	mu      sync.Mutex // guards writes and the fields below
	started bool
	alive   *time.Timer // runs out when a comment is due; nil before the first event
	ended   bool        // no comment may follow
}

// Event passes on an event.
func (s *stream) Event(e dispatch.Event) error {
	if s.whole != nil {
		if err := s.whole.Event(e); err != nil {
			return err
		}
	}
	if e.UsageOnly && !s.usage {
		return nil
	}
	err := s.send("", s.names.rename(e.Data))
	if s.whole != nil {
		return nil // an order goes on without its caller
	}
	return err
}

// FullReply returns the complete answer of an order.
func (s *stream) FullReply() (dispatch.Reply, error) {
	if s.whole == nil {
		return dispatch.Reply{}, nil
	}
	return s.whole.FullReply()
}

// send writes one event and flushes it.
func (s *stream) send(typ, data string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	switch {
	case s.ended:
	case s.alive == nil:
		s.alive = time.AfterFunc(s.o.KeepAliveInterval, s.keepAlive)
	default:
		s.alive.Reset(s.o.KeepAliveInterval)
	}
	m := &sse.Message{}
	if typ != "" {
		m.Type = sse.Type(typ)
	}
	m.AppendData(data)
	return s.emit(m)
}

// keepAlive sends a comment, so that neither the caller nor a balancer takes a waiting answer for a dead connection.
// Before the first byte nothing is sent, so that a failure can still have its own status.
func (s *stream) keepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	m := &sse.Message{}
	m.AppendComment("waiting")
	if s.emit(m) == nil {
		s.alive.Reset(s.o.KeepAliveInterval)
	}
}

// quiet ends the comments. It must be called before the handler returns, as nothing may be written afterwards.
func (s *stream) quiet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.alive != nil {
		s.alive.Stop()
	}
}

// emit writes a message and flushes it. s.mu is held.
func (s *stream) emit(m *sse.Message) error {
	s.patience()
	if _, err := m.WriteTo(s.w); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(s.rc.Flush())
}

// fail reports a failure: by status before the first event, by an error event and no end mark afterwards.
func (s *stream) fail(f dispatch.Failure) {
	s.quiet()
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
func (s *stream) replay(res order.Result) {
	chunk, err := asChunk(res.Body)
	if res.Status != http.StatusOK || err != nil {
		s.write(res.Status, res.Media, res.Body)
		return
	}
	if s.send("", string(chunk)) == nil {
		_ = s.send("", "[DONE]")
	}
}
