package caller

import (
	"encoding/json"
	"strings"
)

// modelRenamer replaces the model name in an engine's chunks by the name of the kind that the caller requested.
type modelRenamer struct {
	model json.RawMessage // name of the kind as a JSON string; nil to leave chunks unchanged
	// The head of the last parsed chunk, up to the end of its model name, before and after renaming. The chunks of a
	// stream usually start with the same bytes, so most of them need no parsing.
	oldHead, newHead string
}

// rename returns the chunk with the model name replaced. All other bytes stay the same.
func (n *modelRenamer) rename(chunk string) string {
	if n.model == nil {
		return chunk
	}
	if rest, ok := strings.CutPrefix(chunk, n.oldHead); ok && n.oldHead != "" {
		return n.newHead + rest
	}
	start, end, ok := findModelName(chunk)
	if !ok {
		return chunk
	}
	n.oldHead, n.newHead = chunk[:end], chunk[:start]+string(n.model)
	return n.newHead + chunk[end:]
}

// findModelName returns the start and end offset of the string value of the member "model" of a JSON object.
func findModelName(object string) (start, end int, ok bool) {
	d := json.NewDecoder(strings.NewReader(object))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return 0, 0, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return 0, 0, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return 0, 0, false
		}
		if name == "model" {
			end := int(d.InputOffset())
			return end - len(value), end, value[0] == '"'
		}
	}
	return 0, 0, false
}
