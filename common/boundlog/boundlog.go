// Package boundlog provides a log writer that never blocks its callers. It drops lines that exceed the queue or the rate
// limit, and logs the number of dropped lines before the next line that it writes.
package boundlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Options configures a Writer.
type Options struct {
	Out io.Writer
	// QueueSize is the maximum number of lines waiting to be written.
	QueueSize int
	// Rate is the maximum mean number of lines per second, Burst the maximum number of lines at once.
	Rate  float64
	Burst int
}

// Writer is an io.Writer that expects one line per call.
type Writer struct {
	o       Options
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{} // closed when the last line has been written
	once    sync.Once
	quit    chan struct{} // closed by Close
}

// New starts a Writer.
func New(o Options) *Writer {
	w := &Writer{o: o, lines: make(chan []byte, o.QueueSize), limiter: rate.NewLimiter(rate.Limit(o.Rate), o.Burst), done: make(chan struct{}), quit: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. If the output blocks until ctx ends, it returns an error, and the lines may be
// lost.
func (w *Writer) Close(ctx context.Context) error {
	w.once.Do(func() { close(w.quit) })
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write the log")
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case p := <-w.lines:
			w.write(p)
		case <-w.quit:
			for {
				select {
				case p := <-w.lines:
					w.write(p)
				default:
					return
				}
			}
		}
	}
}

// write writes a line to the output, after a line with the number of dropped lines if there are any.
func (w *Writer) write(p []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.o.Out, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
	w.o.Out.Write(p) // an error cannot be reported, since this is the log itself
}
