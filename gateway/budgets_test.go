package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a reload that does not reach the services in use.
func TestReloadChangesRetryBudgets(t *testing.T) {
	g := NewWithT(t)
	s := &Settings{RetryWindow: 10 * time.Second, RetryExtra: 10, QuotaWindow: 8 * time.Second}
	b := newBudgets(time.Now(), s)
	g.Expect(b.TakeRetry("s")).To(BeTrue())
	lower := *s
	lower.RetryExtra = 0
	b.configure(&lower)
	g.Expect(b.TakeRetry("s")).To(BeFalse())
	b.configure(s)
	g.Expect(b.TakeRetry("s")).To(BeTrue())
}
