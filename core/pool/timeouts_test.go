package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"monsoondale/core/pool"
)

// Guards against taking callers that state another timeout for ones that return, and against losing those that do.
func TestTimeouts(t *testing.T) {
	const ms = time.Millisecond
	vary := func(usual ...time.Duration) func(i int) time.Duration {
		return func(i int) time.Duration { return usual[i%len(usual)] }
	}
	for _, tc := range []struct {
		name   string
		states func(i int) time.Duration
		stated time.Duration
		want   time.Duration
	}{
		{"first attempt", vary(12000 * ms), 12000 * ms, 0},
		{"returns", vary(12000 * ms), 11500 * ms, 500 * ms},
		{"states more", vary(12000 * ms), 60000 * ms, 0},
		{"states nothing", vary(12000 * ms), 0, 0},
		{"most return", func(i int) time.Duration {
			if i%5 < 2 {
				return 12000 * ms
			}
			return time.Duration(11000-17*i%3000) * ms
		}, 11000 * ms, 1000 * ms},
		{"two kinds of callers", vary(12000*ms, 3000*ms), 3000 * ms, 0},
		{"two kinds, the shorter returns", vary(12000*ms, 3000*ms), 2900 * ms, 100 * ms},
		{"all differ", func(i int) time.Duration { return time.Duration(3000+17*i%9000) * ms }, 4000 * ms, 0},
		{"a few differ upwards", func(i int) time.Duration {
			if i%16 == 0 {
				return 60000 * ms
			}
			return 12000 * ms
		}, 11500 * ms, 500 * ms},
		{"changed", func(i int) time.Duration {
			if i < 200 {
				return 60000 * ms
			}
			return 12000 * ms
		}, 11500 * ms, 500 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			var o pool.Timeouts
			g.Expect(o.Waited(tc.stated)).To(BeZero(), "nothing known")
			for i := range 400 {
				o.Record(tc.states(i))
			}
			g.Expect(o.Waited(tc.stated)).To(Equal(tc.want))
		})
	}
}
