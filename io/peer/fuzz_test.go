package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"monsoondale/core/admission"
	wire "monsoondale/wire/peer"
)

// decodingHandler is a MessageHandler that converts the messages that it receives, as an instance does.
type decodingHandler struct{ countingHandler }

func (d *decodingHandler) Ask(_ context.Context, m wire.Ask) (wire.Answer, error) {
	a := DecodeAsk(time.Unix(0, 0), m)
	if !a.Deadline.IsZero() && m.Deadline == 0 {
		panic("an ask without a deadline was decoded with one")
	}
	return wire.Answer{Request: string(a.Request)}, nil
}

func (d *decodingHandler) Sync(_ context.Context, m wire.Sync) (wire.Synced, error) {
	y := DecodeSync(m)
	return wire.Synced{Resend: len(y.Running) != len(m.Running)}, nil
}

func (d *decodingHandler) Release(_ context.Context, m wire.Release) (struct{}, error) {
	var _ admission.Release = DecodeRelease(m)
	return struct{}{}, nil
}

// Guards against a message that makes the handler panic or gets an unexpected status.
func FuzzMessage(f *testing.F) {
	paths := []string{pathAsk, pathRelease, pathWithdraw, pathSync, pathSuspend, pathFloor, pathClaim, pathGossip, pathReport}
	for i, body := range []string{
		`{"shard":"p/c/0","request":"r","holder":"h","tier":1,"prefixes":["ff","zz"],"deadline":-1}`,
		`{"outcome":"done","first":-1}`, `{}`, `{"digest":"xyz","running":[{"request":"r","age":-5}]}`, `[]`, `{"tier":99}`,
		`{"state":"void"}`, `{"members":{"revision":-1,"items":null},"delta":true}`, `null`,
	} {
		f.Add(uint8(i), []byte(body))
	}
	h := NewHandler(&decodingHandler{}, func(string) bool { return true })
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body)))
		switch w.Code {
		case http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		default:
			t.Errorf("unexpected status %d", w.Code)
		}
	})
}
