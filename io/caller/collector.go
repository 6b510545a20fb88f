package caller

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/dispatch"
)

// collector assembles the chunks of a stream into a complete answer. It rejects chunks that it cannot merge without
// loss.
type collector struct {
	limit   int // of size, in bytes
	renamer modelRenamer
	size    int
	members object
	choices indexed[choice]
}

// choice is one of the choices of a streamed answer.
type choice struct {
	members, message object
	content, refusal jsonString
	toolCalls        indexed[toolCall]
	logprobs         map[string][]json.RawMessage // per token, by the message member that they belong to
}

// toolCall is a tool call of a choice.
type toolCall struct {
	members, function object
	arguments         jsonString
}

// Event adds an event.
func (c *collector) Event(e dispatch.Event) error {
	if c.size += len(e.Data); c.size > c.limit {
		return core.Errorf(core.CodeWrongAnswer, "answer exceeds %d bytes", c.limit)
	}
	if err := forEachMember([]byte(c.renamer.rename(e.Data)), c.add); err != nil {
		return core.Errorf(core.CodeWrongAnswer, "event %d cannot become part of a whole answer: %v", e.ID, err)
	}
	return nil
}

func (c *collector) add(name string, v json.RawMessage) error {
	switch name {
	case "choices":
		return errors.WithMessage(c.choices.add(v, (*choice).add), "choices")
	case "object", "obfuscation": // obfuscation is padding that hides the length of a chunk
		return nil
	case "created":
		if c.members[name] != nil {
			return nil // some engines send the time of each chunk
		}
	case "usage":
		if !isEmpty(v) {
			delete(c.members, name) // some engines send running counts
		}
	}
	return c.members.setOnce(name, v)
}

func (c *choice) add(name string, v json.RawMessage) error {
	switch {
	case name == "delta":
		return errors.WithMessage(forEachMember(v, c.addDelta), name)
	case name == "message" && !isEmpty(v):
		return errors.New("message instead of delta")
	case name == "logprobs":
		return errors.WithMessage(forEachMember(v, c.addLogprobs), name)
	}
	return c.members.setOnce(name, v)
}

func (c *choice) addDelta(name string, v json.RawMessage) error {
	switch name {
	case "role":
		return c.message.setOnce(name, v)
	case "content":
		return errors.WithMessage(c.content.add(v), name)
	case "refusal":
		return errors.WithMessage(c.refusal.add(v), name)
	case "tool_calls":
		return errors.WithMessage(c.toolCalls.add(v, (*toolCall).add), name)
	}
	if !isEmpty(v) {
		return errors.Errorf("unknown member %.40q", name)
	}
	return nil
}

func (c *choice) addLogprobs(name string, v json.RawMessage) error {
	var list []json.RawMessage
	if err := json.Unmarshal(v, &list); err != nil {
		return errors.WithMessage(err, name)
	}
	if c.logprobs == nil {
		c.logprobs = map[string][]json.RawMessage{}
	}
	c.logprobs[name] = append(c.logprobs[name], list...)
	return nil
}

func (t *toolCall) add(name string, v json.RawMessage) error {
	switch name {
	case "index": // complete answers have no index
		return nil
	case "function":
		return errors.WithMessage(forEachMember(v, t.addFunction), name)
	}
	return t.members.setOnce(name, v)
}

func (t *toolCall) addFunction(name string, v json.RawMessage) error {
	if name == "arguments" {
		return errors.WithMessage(t.arguments.add(v), name)
	}
	return t.function.setOnce(name, v)
}

// FullReply returns the complete answer. It fails if only some of the choices have finished.
func (c *collector) FullReply() (dispatch.Reply, error) {
	choices, err := c.choices.list((*choice).complete)
	if err != nil {
		return dispatch.Reply{}, errors.WithMessage(err, "choices")
	}
	finished := 0
	for _, ch := range choices {
		if ch["finish_reason"] != nil {
			finished++
		}
	}
	if len(choices) == 0 || finished > 0 && finished < len(choices) {
		return dispatch.Reply{}, errors.Errorf("%d of %d choices have finished", finished, len(choices))
	}
	c.members.set("object", "chat.completion")
	c.members.set("choices", choices)
	return dispatch.Reply{Status: http.StatusOK, Media: "application/json", Body: mustMarshal(c.members)}, nil
}

// complete returns the choice in the form used in complete answers.
func (c *choice) complete() (object, error) {
	if c.message["role"] == nil {
		c.message.set("role", "assistant")
	}
	tools, err := c.toolCalls.list((*toolCall).complete)
	if err != nil {
		return nil, errors.WithMessage(err, "tool_calls")
	}
	if len(tools) > 0 {
		c.message.set("tool_calls", tools)
	}
	if c.refusal.present {
		c.message.set("refusal", c.refusal.value())
	}
	c.message.set("content", nil)
	if c.content.present || len(tools) == 0 && !c.refusal.present {
		c.message.set("content", c.content.value())
	}
	c.members.set("message", c.message)
	if c.logprobs != nil {
		c.members.set("logprobs", c.logprobs)
	}
	return c.members, nil
}

// complete returns the tool call in the form used in complete answers.
func (t *toolCall) complete() (object, error) {
	if t.members["id"] == nil || t.function["name"] == nil || !t.arguments.present {
		return nil, errors.New("id, name or arguments are missing")
	}
	if t.members["type"] == nil {
		t.members.set("type", "function")
	}
	t.function.set("arguments", t.arguments.value())
	t.members.set("function", t.function)
	return t.members, nil
}

// asChunk converts a complete answer to a single chunk of a stream.
func asChunk(body []byte) ([]byte, error) {
	var answer object
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.WithStack(err)
	}
	var choices []object
	if err := json.Unmarshal(answer["choices"], &choices); err != nil {
		return nil, errors.WithStack(err)
	}
	for _, ch := range choices {
		var message object
		if err := json.Unmarshal(ch["message"], &message); err != nil {
			return nil, errors.WithStack(err)
		}
		if raw, ok := message["tool_calls"]; ok {
			var tools []object
			if err := json.Unmarshal(raw, &tools); err != nil {
				return nil, errors.WithStack(err)
			}
			for i, t := range tools {
				t.set("index", i)
			}
			message.set("tool_calls", tools)
		}
		delete(ch, "message")
		ch.set("delta", message)
	}
	answer.set("object", "chat.completion.chunk")
	answer.set("choices", choices)
	return mustMarshal(answer), nil
}

// object is a JSON object whose members are decoded only where needed.
type object map[string]json.RawMessage

// setOnce sets a member that must have the same value in all chunks that contain it.
func (o *object) setOnce(name string, v json.RawMessage) error {
	if isEmpty(v) {
		return nil
	}
	if old, ok := (*o)[name]; ok && !bytes.Equal(old, v) {
		return errors.Errorf("%.40q has the values %.40s and %.40s", name, old, v)
	}
	o.setRaw(name, v)
	return nil
}

// set sets a member to the JSON encoding of v.
func (o *object) set(name string, v any) { o.setRaw(name, mustMarshal(v)) }

func (o *object) setRaw(name string, v json.RawMessage) {
	if *o == nil {
		*o = object{}
	}
	(*o)[name] = v
}

// marshal encodes the object. Unlike json.Marshal it copies the members, which are known to be valid, without checking
// them again: for a long prompt, the check took a quarter of the time before its dispatch.
func (o object) marshal() []byte {
	size := 2
	for name, v := range o {
		size += len(name) + len(v) + 4
	}
	b := append(make([]byte, 0, size), '{')
	for i, name := range slices.Sorted(maps.Keys(o)) {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, mustMarshal(name)...)
		b = append(b, ':')
		b = append(b, o[name]...)
	}
	return append(b, '}')
}

// isEmpty reports whether a value is equivalent to a missing member.
func isEmpty(v json.RawMessage) bool {
	switch string(v) {
	case "null", `""`, "[]", "{}":
		return true
	}
	return false
}

// forEachMember calls f for each member of a JSON object until f fails.
func forEachMember(raw json.RawMessage, f func(name string, v json.RawMessage) error) error {
	var o object
	if err := json.Unmarshal(raw, &o); err != nil {
		return errors.WithStack(err)
	}
	for name, v := range o {
		if err := f(name, v); err != nil {
			return err
		}
	}
	return nil
}

// mustMarshal encodes v, which must consist of values decoded from JSON, strings and numbers.
func mustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // such values can always be encoded
	}
	return b
}

// jsonString concatenates the pieces of a string. The pieces stay in JSON form, because one may end between two escapes
// that together encode a single character.
type jsonString struct {
	present bool // at least one piece was added, possibly an empty one
	raw     []byte
}

func (t *jsonString) add(piece json.RawMessage) error {
	if string(piece) == "null" {
		return nil
	}
	if piece[0] != '"' {
		return errors.Errorf("%.40s is not a string", piece)
	}
	t.present = true
	t.raw = append(t.raw, piece[1:len(piece)-1]...)
	return nil
}

// value returns the whole string in JSON form.
func (t *jsonString) value() json.RawMessage { return json.RawMessage(`"` + string(t.raw) + `"`) }

// indexed holds the parts of an answer, such as choices, by their index.
type indexed[T any] struct{ parts map[int]*T }

// add decodes a list of objects and calls f for each of their members with the part of the same index.
func (n *indexed[T]) add(list json.RawMessage, f func(part *T, name string, v json.RawMessage) error) error {
	var objects []object
	if err := json.Unmarshal(list, &objects); err != nil {
		return errors.WithStack(err)
	}
	for _, o := range objects {
		i, err := strconv.Atoi(string(o["index"]))
		if err != nil {
			return errors.WithMessage(err, "index")
		}
		if n.parts == nil {
			n.parts = map[int]*T{}
		}
		part, ok := n.parts[i]
		if !ok {
			part = new(T)
			n.parts[i] = part
		}
		for name, v := range o {
			if err := f(part, name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// list converts the parts by f and returns them in order. It fails if an index is missing.
func (n *indexed[T]) list(f func(*T) (object, error)) ([]object, error) {
	out := make([]object, len(n.parts))
	for i := range out {
		part, ok := n.parts[i]
		if !ok {
			return nil, errors.Errorf("part %d of %d is missing", i, len(n.parts))
		}
		var err error
		if out[i], err = f(part); err != nil {
			return nil, errors.WithMessagef(err, "part %d", i)
		}
	}
	return out, nil
}
