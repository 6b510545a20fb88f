// Package carried remembers which request ids have been sent on a connection. An id must not be sent on it again: a faulty peer may write
// an earlier response once more, and the id would not tell the copy from the response that is due.
package carried

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxIDs is the number of ids that a connection may carry, which bounds what is remembered to 4 KB.
const maxIDs = 512

// IDs are the hashes of the ids of all requests that were sent on a connection. Two ids with one hash only cost a connection.
type IDs []uint64

// Add adds an id.
func (s *IDs) Add(id string) { *s = append(*s, xxhash.Sum64String(id)) }

// Has reports whether an id was added.
func (s IDs) Has(id string) bool { return slices.Contains(s, xxhash.Sum64String(id)) }

// Full reports whether the connection is to be closed instead of carrying another request.
func (s IDs) Full() bool { return len(s) >= maxIDs }
