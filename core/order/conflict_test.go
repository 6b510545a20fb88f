package order_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/object/objecttest"
	"monsoondale/core/order"
	"monsoondale/wire/peer"
)

// Guards against an order that is refused although the head in the response to its own conflicting write says what became
// of its key: if the head is read again for each answer, and changes again before each read, no answer is ever given.
func TestAnswerFromConflict(t *testing.T) {
	for _, tc := range []struct {
		name      string
		forwarded bool // the other instance writes the claim itself, as the owner of the shard
		want      core.Code
	}{
		{"claimed by the other instance", false, core.CodeInProgress},
		{"written by the other instance, whose answer was lost", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
				c := newCluster(t)
				keys := keysOfShard0(1000)
				other := c.registry(t, "other", nil)
				forwarded := make(chan peer.Claim, 100)
				b := c.registry(t, "b", func(o *order.Options) {
					o.Forward = func(_ context.Context, _ int, m peer.Claim) (peer.Claimed, error) {
						forwarded <- m
						return peer.Claimed{}, errors.New("no answer")
					}
				})
				mustClaim(ctx, g, other, keys[0]) // from now on, other knows the head and only writes

				var inHook, conflicted atomic.Bool
				var n atomic.Int32
				c.store.SetFaultFunc(func(call objecttest.Call) objecttest.Fault {
					if call.Name != "0" || !inHook.CompareAndSwap(false, true) {
						return objecttest.None
					}
					defer inHook.Store(false)
					switch {
					case call.Op == objecttest.OpPut && !conflicted.Swap(true):
						if tc.forwarded {
							g.Expect(other.Serve(ctx, <-forwarded).Won).To(BeTrue())
						} else {
							mustClaim(ctx, g, other, keys[1])
						}
					case call.Op == objecttest.OpGet:
						_, _, _ = other.Claim(ctx, keys[1+n.Add(1)], "p") // only the change of the head matters
					}
					return objecttest.None
				})
				_, _, err := b.Claim(ctx, keys[1], "p")
				g.Expect(codeOf(err)).To(Equal(tc.want), "%v", err)
				g.Expect(conflicted.Load()).To(BeTrue())
			})
		})
	}
}

// Guards against a shard that is written faster than its rate after a conflict, for as long as it has entries to write.
func TestRateAfterConflict(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		c := newCluster(t)
		keys := keysOfShard0(3000)
		a, other := c.registry(t, "a", nil), c.registry(t, "other", nil)
		mustClaim(ctx, g, a, keys[0])
		mustClaim(ctx, g, other, keys[1]) // a's next write conflicts
		var headWrites atomic.Int32
		c.store.SetFaultFunc(func(call objecttest.Call) objecttest.Fault {
			if call.Op == objecttest.OpPut && call.Name == "0" {
				headWrites.Add(1)
			}
			return objecttest.None
		})
		start := time.Now()
		for _, k := range keys[2:] {
			go func() { _, _, _ = a.Claim(ctx, k, "p") }() // only the writes matter
			time.Sleep(time.Millisecond)
		}
		g.Expect(headWrites.Load()).To(BeNumerically("<=", 8+time.Since(start).Seconds()*400/order.Shards+1), "the burst, the rate and the conflict")
		g.Expect(a.Counters().Conflicts).To(BeEquivalentTo(1))
		g.Expect(a.Counters().Won).To(BeNumerically(">", 2500))
	})
}

// keepWriting claims keys of shard 0 so often that r always has an entry to write, until the returned function is called.
func keepWriting(ctx context.Context, r *order.Registry, keys []core.OrderKey) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for _, k := range keys {
			go func() { _, _, _ = r.Claim(ctx, k, "p") }() // the counters of r show whether it was refused
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// Guards against orders that are refused because the instance that won the last write of a head object always wins the
// next one as well, and against refused orders of that instance in exchange. The object API responds, but in most cases so
// slowly that the rate of writes leaves no gaps between them.
func TestOtherWritersAreBusy(t *testing.T) {
	keys := keysOfShard0(1210)
	for _, tc := range []struct {
		latency time.Duration
		writers int
	}{{5, 1}, {170, 1}, {330, 1}, {610, 1}, {5, 4}, {220, 4}, {330, 4}} {
		t.Run(fmt.Sprint(tc.latency*time.Millisecond, ", ", tc.writers, " other writers"), func(t *testing.T) {
			inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
				c := newCluster(t)
				b := c.registry(t, "b", nil)
				c.store.SetLatency(tc.latency * time.Millisecond)
				var busy []*order.Registry
				for i := range tc.writers {
					busy = append(busy, c.registry(t, core.InstanceID(fmt.Sprint("busy", i)), nil))
					defer keepWriting(ctx, busy[i], keys[10+300*i:][:300])()
					time.Sleep(67 * time.Millisecond)
				}
				time.Sleep(946 * time.Millisecond)
				for _, k := range keys[:10] {
					mustClaim(ctx, g, b, k)
				}
				for _, r := range busy {
					g.Expect(r.Counters().Won).To(BeNumerically(">", 0))
					g.Expect(r.Counters().Background).To(BeZero(), "given up")
				}
			})
		})
	}
}

// Guards against orders that are refused at a slow object API because their holders give up the place in the queue of the
// shard's owner after ForwardTimeout, and compete with it from then on.
func TestSlowOwner(t *testing.T) {
	for _, latency := range []time.Duration{540, 590, 640, 690, 740, 790} {
		for _, offset := range []time.Duration{7, 57, 157} { // between the arrivals of the orders
			t.Run(fmt.Sprint(latency*time.Millisecond, ", ", offset*time.Millisecond), func(t *testing.T) {
				inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
					c := newCluster(t)
					keys := keysOfShard0(3)
					c.store.SetLatency(latency * time.Millisecond)
					owner := c.registry(t, "owner", nil)
					forward := func(o *order.Options) {
						o.Forward = func(ctx context.Context, _ int, m peer.Claim) (peer.Claimed, error) {
							out := owner.Serve(ctx, m)
							return out, ctx.Err()
						}
					}
					errs := make(chan error)
					for i, r := range []*order.Registry{owner, c.registry(t, "a", forward), c.registry(t, "b", forward)} {
						go func() {
							_, _, err := r.Claim(ctx, keys[i], "p")
							errs <- err
						}()
						time.Sleep(offset * time.Millisecond)
					}
					for range keys {
						g.Expect(<-errs).NotTo(HaveOccurred())
					}
				})
			})
		}
	}
}
