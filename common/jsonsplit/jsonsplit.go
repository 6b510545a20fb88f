// Package jsonsplit splits JSON documents of outside writers into parts that can be decoded one by one, so that one part
// that encoding/json refuses does not affect the others. The nesting of the parts is not limited and costs no stack.
package jsonsplit

import (
	"bytes"
	"encoding/json"

	"github.com/tidwall/gjson"
)

// MaxDepth is the nesting up to which values of outside writers are kept. encoding/json refuses documents nested more than
// 10,000 deep, so what is kept may stand inside of other documents.
const MaxDepth = 32

// Fields returns the fields of an object, whose values may be malformed. Of fields with the same name, the last one is
// returned. ok is false if the text is no object or does not end where the object ends, as after a truncation.
func Fields(text []byte) (fields map[string]json.RawMessage, ok bool) {
	text = bytes.TrimSpace(text)
	if !enclosed(text, '{', '}') {
		return nil, false
	}
	fields = map[string]json.RawMessage{}
	end := 1
	gjson.ParseBytes(text).ForEach(func(key, value gjson.Result) bool {
		fields[key.String()] = json.RawMessage(value.Raw)
		end = value.Index + len(value.Raw)
		return true
	})
	// Without its end, the last value extends to the end of the text.
	return fields, string(bytes.TrimSpace(text[min(end, len(text)):])) == "}"
}

// Elements returns the elements of a list, which may be malformed. The text must be a value of Fields. ok is false if it is no
// list.
func Elements(text []byte) (elements []json.RawMessage, ok bool) {
	text = bytes.TrimSpace(text)
	if !enclosed(text, '[', ']') {
		return nil, false
	}
	gjson.ParseBytes(text).ForEach(func(_, value gjson.Result) bool {
		elements = append(elements, json.RawMessage(value.Raw))
		return true
	})
	return elements, true
}

// enclosed reports whether a text begins and ends with the given characters.
func enclosed(text []byte, first, last byte) bool {
	return len(text) > 1 && text[0] == first && text[len(text)-1] == last
}

// Deeper reports whether valid JSON is nested more than limit deep.
func Deeper(text []byte, limit int) bool {
	return mayBeDeeper(text, limit) && deeper(text, limit)
}

// mayBeDeeper is false only if deeper is, whose decoder takes many times as long.
func mayBeDeeper(text []byte, limit int) bool {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			if depth++; depth > limit {
				return true
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return false
}

// deeper reports whether a text is nested more than limit deep before it ends or is malformed.
func deeper(text []byte, limit int) bool {
	d, depth := json.NewDecoder(bytes.NewReader(text)), 0
	for depth <= limit {
		t, err := d.Token()
		if err != nil {
			return false // the end
		}
		switch t {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
	}
	return true
}
