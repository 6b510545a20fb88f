// Package carried remembers which request ids have been sent on a connection. An id must not be sent on it again: a faulty peer may write
// an earlier response once more, and the id would not tell the copy from the response that is due.
package carried

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxIDs is the number of ids that a connection may carry, which bounds what is remembered to 4 KB.
const maxIDs = 512

// ID is the hash of a request id. Two ids with one hash only cost a connection.
type ID uint64

// Hash returns the hash of a request id.
func Hash(id string) ID { return ID(xxhash.Sum64String(id)) }

// IDs are the ids of all requests that were sent on a connection.
type IDs []ID

// Add adds an id.
func (s *IDs) Add(id ID) { *s = append(*s, id) }

// Has reports whether an id was added.
func (s IDs) Has(id ID) bool { return slices.Contains(s, id) }

// Full reports whether the connection is to be closed instead of carrying another request.
func (s IDs) Full() bool { return len(s) >= maxIDs }
