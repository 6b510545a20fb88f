package endpoint

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoondale/core"
)

// maxCarried is the number of requests after which a connection is closed, which bounds the ids that it remembers to 4 KB.
const maxCarried = 512

// carriedIDs are the hashes of the ids of all requests that were sent on a connection. Two ids with one hash only cost a
// connection.
type carriedIDs []uint64

func (c *carriedIDs) add(id core.RequestID) { *c = append(*c, xxhash.Sum64String(string(id))) }

func (c carriedIDs) has(id core.RequestID) bool {
	return slices.Contains(c, xxhash.Sum64String(string(id)))
}
