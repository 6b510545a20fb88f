package boundlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/common/boundlog"
)

// stuck is an output that does not take anything until it is released.
type stuck struct {
	release chan struct{}
	entered chan struct{} // receives for each line that is being written
	mu      sync.Mutex
	b       bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.entered <- struct{}{}
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// Guards against requests that wait for a log that is not read, and against lines that vanish without a trace.
func TestNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &stuck{release: make(chan struct{}), entered: make(chan struct{}, 100)}
	w := boundlog.New(boundlog.Options{Out: out, QueueSize: 10, Rate: 1e6, Burst: 1e6})
	fmt.Fprintln(w, "line 0")
	<-out.entered // or else the writer might count some lines as reported while it is still to write that
	start := time.Now()
	for i := 1; i < 100; i++ {
		fmt.Fprintf(w, "line %d\n", i)
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically("==", 89))
	close(out.release)
	g.Expect(w.Close()).To(Succeed())
	written := out.b.String()
	g.Expect(written).To(ContainSubstring("log lines dropped"))
	g.Expect(written).To(ContainSubstring(fmt.Sprintf(`"lines":%d`, dropped)))
	g.Expect(strings.Count(written, "line ")).To(Equal(11))
}

// Guards against a log that grows with the load.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := boundlog.New(boundlog.Options{Out: &out, QueueSize: 1000, Rate: 1, Burst: 5})
	for range 500 {
		fmt.Fprintln(w, "line")
	}
	g.Expect(w.Close()).To(Succeed())
	g.Expect(strings.Count(out.String(), "line\n")).To(BeNumerically("<=", 6))
}
