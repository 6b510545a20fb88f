package caller

import (
	"encoding/json"
	"strings"
)

// modelRenamer puts the name of a kind of work in place of the model name that an engine gives in its chunks.
type modelRenamer struct {
	model json.RawMessage // the kind's name, nil to leave chunks as they are
	// The start of the last chunk up newHead the end of its model name, as received and as passed on. The chunks of a
	// stream usually start alike, so that most of them need no parsing.
	oldHead, newHead string
}

// rename returns a chunk with the kind's name. All other bytes stay as they are.
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

// findModelName returns where the string of the member "model" of a JSON object starts and ends.
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
