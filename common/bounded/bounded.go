// Package bounded limits what is read from other processes, which may send bytes without end.
package bounded

import (
	"io"

	"github.com/pkg/errors"
)

// MaxHeaderBytes is the size of the largest response header that clients of the platform and of other instances accept.
// Without a limit of its own, http.Transport accepts 10 MB.
const MaxHeaderBytes = 64 << 10

// ErrTooLarge is the cause of errors of ReadAll for content above the limit.
var ErrTooLarge = errors.New("too large")

// ReadAll reads r to its end. It fails with ErrTooLarge after limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "response exceeds %d bytes", limit)
	}
	return b, nil
}
