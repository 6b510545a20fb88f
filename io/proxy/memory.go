package proxy

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// minBodyBuffer is the initial size of the buffer for a body of unknown length.
	minBodyBuffer = 2 << 10
	// RequestShare is the part of the limit up to which bodies of new requests are accepted. The rest is for responses to
	// requests that endpoints have run already.
	RequestShare = 0.75
	// memoryTimeout is how long the response of a request that has run waits for memory, while its endpoint waits for it to be read.
	// It is bounded, as all responses may wait for the memory that the others hold.
	memoryTimeout = time.Second
	// memoryRetryInterval is the time between two tries to reserve memory.
	memoryRetryInterval = 5 * time.Millisecond
)

// errBodyMemory reports that the buffers of all requests together have reached their limit.
var errBodyMemory = errors.New("no memory left for bodies")

// bodyMemory limits the bytes in the buffers of all requests together. Limits on single bodies are not enough: hundreds of
// them, from faulty callers or endpoints, would exceed the memory of the process.
type bodyMemory struct {
	limit int64 // 0 for no limit
	used  atomic.Int64
}

// reserve reserves n bytes, or returns false if they exceed a share of the limit.
func (m *bodyMemory) reserve(n int, share float64) bool {
	if m.used.Add(int64(n)) > int64(share*float64(m.limit)) && m.limit > 0 {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// reserve reserves n bytes of buffers until the request ends, or returns false if they exceed the limit.
func (x *exchange) reserve(n int) bool {
	share := 1.0
	if x.stage == stageArrival {
		share = RequestShare
	}
	if !x.handler.memory.reserve(n, share) {
		return false
	}
	x.reserved += int64(n)
	return true
}

// awaitMemory reserves n bytes of buffers for the response, and waits for them for up to memoryTimeout.
func (a *attempt) awaitMemory(n int) bool {
	for end := time.Now().Add(memoryTimeout); !a.x.reserve(n); {
		if !time.Now().Before(end) {
			return false
		}
		select {
		case <-time.After(memoryRetryInterval):
		case <-a.ctx.Done():
			return false
		}
	}
	return true
}

// readBuffered reads a body to its end. It fails with errTooLarge after limit bytes. length is the expected length, or
// less than 0 if it is unknown. reserve reserves memory.
func readBuffered(r io.Reader, length, limit int64, reserve func(n int) bool) ([]byte, error) {
	size := int64(minBodyBuffer)
	if length >= 0 {
		size = min(length, limit) + 1 // a full buffer would grow before the end is seen
	}
	if !reserve(int(size)) {
		return nil, errBodyMemory
	}
	b := make([]byte, 0, size)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return nil, errTooLarge
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
		if b, err = ensureSpace(b, reserve); err != nil {
			return nil, err
		}
	}
}

// ensureSpace returns b, with twice its capacity if it is full.
func ensureSpace(b []byte, reserve func(n int) bool) ([]byte, error) {
	if len(b) < cap(b) {
		return b, nil
	}
	if !reserve(cap(b)) {
		return nil, errBodyMemory
	}
	return append(make([]byte, 0, 2*cap(b)), b...), nil
}
