// Package boundlog writes log lines without ever blocking the writer: a line that does not fit the buffer or the rate is
// dropped, and the number of dropped lines is written once there is room again.
package boundlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Options configures a Writer.
type Options struct {
	Out io.Writer
	// QueueSize is the number of lines that may wait to be written.
	QueueSize int
	// Rate is the number of lines a second that are written in the long run, Burst how many at once.
	Rate  float64
	Burst int
}

// Writer is an io.Writer that takes one line a call.
type Writer struct {
	o       Options
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	quit    chan struct{}
}

// New starts a Writer.
func New(o Options) *Writer {
	w := &Writer{o: o, lines: make(chan []byte, o.QueueSize), limit: rate.NewLimiter(rate.Limit(o.Rate), o.Burst), done: make(chan struct{}), quit: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	if !w.limit.Allow() {
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

// Dropped returns the number of lines dropped since the last line that reported them.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return nil
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

func (w *Writer) write(p []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.o.Out, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
	w.o.Out.Write(p) // there is nowhere to report that standard output is gone
}
