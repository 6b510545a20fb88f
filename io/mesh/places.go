package mesh

import (
	fastjson "github.com/segmentio/encoding/json"

	"monsoondale/wire/mesh"
)

// placesMark is the first byte of messages about places. Digests, on the same socket, begin with a brace.
const placesMark = 'p'

// encodePlaces returns the datagram of a message about places.
func encodePlaces(p *mesh.Places) ([]byte, error) {
	return fastjson.Append([]byte{placesMark}, p, 0)
}

// decodePlaces decodes a message about places.
func decodePlaces(text []byte) (p mesh.Places, err error) {
	err = fastjson.Unmarshal(text, &p)
	return p, err
}
