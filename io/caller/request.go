package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/admission"
	"monsoondale/core/dispatch"
	"monsoondale/core/workspace"
	"monsoondale/io/engine"
	wire "monsoondale/wire/engine"
)

// readBody reads the request body within MaxBodyBytes and BodyTimeout. On error it answers the caller and returns
// false.
func (x *exchange) readBody() ([]byte, bool) {
	_ = x.rc.SetReadDeadline(time.Now().Add(x.opts.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = x.rc.SetReadDeadline(time.Time{})
		return b, true
	case errors.As(err, &tooLarge):
		x.w.Header().Set("Connection", "close")
		x.reject(core.CodeBodyTooLarge, "the limit is %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The expired read deadline stays set, so that the server does not wait for the rest of the body either.
		x.w.Header().Set("Connection", "close")
		x.reject(core.CodeSlowBody, "the limit is %v", x.opts.BodyTimeout)
	case x.r.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		x.w.Header().Set("Connection", "close")
		x.reject(core.CodeCallerGone, "")
	default:
		x.w.Header().Set("Connection", "close")
		x.reject(core.CodeBadRequest, "%v", err)
	}
	return nil, false
}

// newRequest returns the dispatch request for a kind. If the kind needs an idempotency key and the caller sent none, it
// answers the caller and returns false.
func (x *exchange) newRequest(k workspace.Kind, user string, body []byte) (dispatch.Request, bool) {
	q := dispatch.Request{
		Attempt: x.attempt, Pool: k.Pool,
		Ask: admission.Ask{
			Workspace: x.ws.ID, Caller: x.callerID(user), Tier: k.Tier, Weight: x.ws.Weight, Once: k.AtMostOnce,
			Prefill: estimateTokens(len(body)), Decode: k.EstimatedTokens,
		},
	}
	if k.Deadline > 0 {
		q.Ask.Deadline = x.start.Add(k.Deadline)
	}
	if !k.AtMostOnce {
		return q, true
	}
	key := x.r.Header.Get(headerIdempotencyKey)
	if key == "" || len(key) > 255 {
		x.reject(core.CodeKeyRequired, "kind %s needs an Idempotency-Key of 1 to 255 bytes", k.ID)
		return q, false
	}
	q.Claim = dispatch.Claim{
		Key:         core.OrderKey(string(x.ws.ID) + "/" + key),
		Fingerprint: fingerprint(x.r.Method, x.r.URL.Path, x.r.URL.RawQuery, x.r.Header.Get("Content-Type"), string(body)),
	}
	return q, true
}

// fingerprint hashes the parts of a request, to detect different requests with the same idempotency key.
func fingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p)) // fixed-size hashes keep the boundaries between parts unambiguous
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// estimateTokens estimates the number of tokens in n bytes of text.
func estimateTokens(n int) core.Tokens { return core.Tokens(n+3) / 4 }

// messageOverheadTokens is the usual number of tokens for role and separators per message.
const messageOverheadTokens = 4

// chatRequest holds the fields of a chat request that are needed here, and all fields in raw form.
type chatRequest struct {
	fields       object
	model        string
	user         string
	stream       bool
	includeUsage bool // the caller asked for a final chunk with token counts
	maxTokens    int  // limit of generated tokens, 0 for none
	choices      int  // number of answers, 0 for one
	messages     []wire.Message
}

// content is the content of a message: a text, or a list of parts as raw JSON, which is only measured and
// hashed.
type content string

// UnmarshalJSON sets the content.
func (c *content) UnmarshalJSON(b []byte) error {
	switch {
	case b[0] == '"':
		return json.Unmarshal(b, (*string)(c))
	case string(b) != "null":
		*c = content(b)
	}
	return nil
}

// parseChat parses a chat request. All other fields are kept in raw form.
func parseChat(b []byte) (*chatRequest, error) {
	c := &chatRequest{}
	if err := json.Unmarshal(b, &c.fields); err != nil {
		return nil, errors.WithMessage(err, "body")
	}
	var limits [2]int
	var messages []struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	}
	var options struct {
		Usage bool `json:"include_usage"`
	}
	for _, f := range []struct {
		name string
		to   any
	}{
		{"model", &c.model},
		{"user", &c.user},
		{"stream", &c.stream},
		{"n", &c.choices},
		{"stream_options", &options},
		{"max_tokens", &limits[0]},
		{"max_completion_tokens", &limits[1]},
		{"messages", &messages},
	} {
		raw, ok := c.fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return nil, errors.WithMessage(err, f.name)
		}
	}
	c.includeUsage = options.Usage
	c.maxTokens = max(limits[0], limits[1])
	if c.model == "" {
		return nil, errors.New("model is missing")
	}
	if len(messages) == 0 {
		return nil, errors.New("messages are missing")
	}
	c.messages = make([]wire.Message, len(messages))
	for i, m := range messages {
		if m.Role == "" {
			return nil, errors.Errorf("message %d has no role", i)
		}
		c.messages[i] = wire.Message{Role: m.Role, Content: string(m.Content)}
	}
	return c, nil
}

// engineBody returns the body for the engine. It always requests a stream, which can be resumed, and token counts. If
// model is not empty, it replaces the model name of the caller.
func (c *chatRequest) engineBody(model string) ([]byte, error) {
	options := map[string]json.RawMessage{}
	if raw, ok := c.fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, errors.WithMessage(err, "stream_options")
		}
	}
	if options == nil { // the field was null
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	c.fields.set("stream", true)
	c.fields.set("stream_options", options)
	if model != "" {
		c.fields.set("model", model)
	}
	return c.fields.marshal(), nil
}

// estimate sets the token estimates and prefix hashes of an ask. fallback is used if the kind has no estimate.
func (c *chatRequest) estimate(a *admission.Ask, fallback core.Tokens) {
	a.Prefill = 0
	for _, m := range c.messages {
		a.Prefill += estimateTokens(len(m.Content)) + messageOverheadTokens
	}
	if a.Decode == 0 {
		a.Decode = fallback
	}
	if n := core.Tokens(c.maxTokens); n > 0 && n < a.Decode {
		a.Decode = n
	}
	a.Prefixes = engine.PrefixHashes(c.messages)
}
