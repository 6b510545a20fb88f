// Package bounded limits what is read from other processes, which may send bytes without end.
package bounded

import (
	"io"

	"github.com/pkg/errors"
)

// MaxHeaderBytes is the size of the largest response header that clients of the platform and of other instances accept.
// Without a limit of its own, http.Transport accepts 10 MB.
const MaxHeaderBytes = 64 << 10

// ReadAll reads a response to its end. It fails if that has more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, errors.Errorf("the answer exceeds %d bytes", limit)
	}
	return b, nil
}
