package order_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"monsoondale/core"
	"monsoondale/core/object/objecttest"
	"monsoondale/core/order"
)

// keysOfShard0 returns n keys of claim shard 0.
func keysOfShard0(n int) []core.OrderKey {
	var out []core.OrderKey
	for i := 0; len(out) < n; i++ {
		k := core.OrderKey(fmt.Sprint("k", i))
		if s, err := order.ShardOf(order.HashKey(k)); err == nil && s == 0 {
			out = append(out, k)
		}
	}
	return out
}

func smallObjects(o *order.Options) { o.HeadBytes, o.ArchiveBytes = 1500, 3500 }

func claimAndFinish(ctx context.Context, g *WithT, r *order.Registry, k core.OrderKey, body string) {
	t := mustClaim(ctx, g, r, k)
	g.Expect(r.Finish(ctx, t, true, order.Result{Status: 200, Body: []byte(body)})).To(Succeed())
}

func expectRecorded(ctx context.Context, g *WithT, r *order.Registry, k core.OrderKey, body string) {
	_, res, err := r.Claim(ctx, k, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).NotTo(BeNil())
	g.Expect(string(res.Body)).To(Equal(body))
}

// Guards against losing keys or results when a rollover fails at one of its calls, when responses to its writes are lost
// or writes take effect late, or when another instance rolls over at the same time.
func TestRolloverFaults(t *testing.T) {
	isArchive := func(c objecttest.Call) bool { return strings.Contains(c.Name, ".") }
	cases := []struct {
		name           string
		archive, after objecttest.Fault
		race           bool
	}{
		{name: "none"},
		{name: "crash before the archive write", archive: objecttest.Down, after: objecttest.Down},
		{name: "crash between the archive write and the head write", archive: objecttest.Lost, after: objecttest.Down},
		{name: "lost answer to the archive write", archive: objecttest.Lost},
		{name: "late archive write", archive: objecttest.Late},
		{name: "lost answer to the head write", after: objecttest.Lost},
		{name: "late head write", after: objecttest.Late},
		{name: "another instance writes in between", race: true},
	}
	for i, tc := range append(cases, cases...) {
		sizes := smallObjects
		if i >= len(cases) { // extended archives could hide that an archive lacks entries, so none is extended
			sizes = func(o *order.Options) { o.HeadBytes, o.ArchiveBytes = 1500, 1 }
		}
		t.Run(fmt.Sprint(tc.name, i/len(cases)), func(t *testing.T) {
			inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
				c := newCluster(t)
				keys := keysOfShard0(60)
				a, b := c.registry(t, "a", sizes), c.registry(t, "b", sizes)
				open, _, err := a.Claim(ctx, keys[59], "p") // claimed before the rollovers and settled after them
				g.Expect(err).NotTo(HaveOccurred())
				var armed, hit bool
				c.store.SetFaultFunc(func(call objecttest.Call) objecttest.Fault {
					switch {
					case call.Op != objecttest.OpPut || call.Kind != "claim":
						return objecttest.None
					case isArchive(call) && !armed:
						armed = true
						return tc.archive
					case armed && !isArchive(call) && !hit:
						hit = true
						if tc.race {
							c.store.SetFaultFunc(nil)
							claimAndFinish(ctx, g, b, keys[58], "racer")
						}
						return tc.after
					case tc.after == objecttest.Down && armed:
						return objecttest.Down // the instance is gone
					}
					return objecttest.None
				})
				n := 0
				for ; n < 50; n++ {
					tk, _, err := a.Claim(ctx, keys[n], "p")
					if err != nil {
						g.Expect(codeOf(err)).To(Equal(core.CodeStoreDown))
						break
					}
					if a.Finish(ctx, tk, true, order.Result{Status: 200, Body: []byte(keys[n])}) != nil {
						break
					}
				}
				if tc.after == objecttest.Down {
					a.Close()
					c.store.SetFaultFunc(nil)
					time.Sleep(11 * time.Minute) // the next rollover also archives the open claim
					a = b
				} else {
					g.Expect(n).To(Equal(50))
					n-- // no key has an unknown outcome
				}
				for i := n + 1; i < 55; i++ {
					claimAndFinish(ctx, g, a, keys[i], string(keys[i]))
				}
				time.Sleep(time.Minute) // until late writes took effect
				cold := c.registry(t, "cold", sizes)
				for i := range 55 {
					if i == n && tc.after == objecttest.Down {
						continue // its outcome is unknown
					}
					expectRecorded(ctx, g, cold, keys[i], string(keys[i]))
				}
				if tc.race {
					expectRecorded(ctx, g, cold, keys[58], "racer")
				}
				expectRefused(ctx, g, cold, keys[59], "p", core.CodeInProgress)
				if tc.after != objecttest.Down {
					g.Expect(a.Finish(ctx, open, true, order.Result{Body: []byte("open")})).To(Succeed())
					expectRecorded(ctx, g, cold, keys[59], "open")
				}
				g.Expect(checkArchives(g, c)).To(BeNumerically(">", 3), "rollovers happened")
			})
		})
	}
}

// checkArchives checks that the archives listed in the head exist and that others were deleted. It returns the number of
// listed archives.
func checkArchives(g *WithT, c *cluster) int {
	names := c.store.Objects("claim")
	h, err := order.DecodeHead([]byte(names["0"]))
	g.Expect(err).NotTo(HaveOccurred())
	for _, a := range h.Archives {
		g.Expect(names).To(HaveKey(fmt.Sprint("0.", a.Number)))
	}
	g.Expect(len(names)).To(BeNumerically("<=", len(h.Archives)+2), "at most one orphan besides the head")
	return len(h.Archives)
}

// Guards against deleting an archive that is still listed, after the rollover that should have replaced it failed.
func TestFailedExtension(t *testing.T) {
	for range 4 { // random ids and delays decide which calls fail
		inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
			c := newCluster(t)
			keys := keysOfShard0(100)
			a := c.registry(t, "a", smallObjects)
			n := 0
			for ; len(c.store.Objects("claim")) < 2; n++ {
				claimAndFinish(ctx, g, a, keys[n], "x")
			}
			var failed atomic.Bool
			c.store.SetFaultFunc(func(call objecttest.Call) objecttest.Fault {
				if call.Op == objecttest.OpPut && call.Name == "0.1" {
					failed.Store(true)
					return objecttest.None
				}
				return map[bool]objecttest.Fault{true: objecttest.Dropped}[failed.Load()]
			})
			for !failed.Load() {
				if tk, _, err := a.Claim(ctx, keys[n], "p"); err == nil && a.Finish(ctx, tk, true, order.Result{Body: []byte("x")}) == nil {
					n++
				}
			}
			time.Sleep(2 * time.Hour) // the archive is no longer extended
			c.store.SetFaultFunc(nil)
			for _, k := range keys[n+1 : 80] {
				claimAndFinish(ctx, g, a, k, "x")
			}
			g.Expect(a.Drain(ctx)).To(Succeed())
			cold := c.registry(t, "cold", smallObjects)
			for _, k := range append(keys[:n:n], keys[n+1:80]...) {
				expectRecorded(ctx, g, cold, k, "x")
			}
		})
	}
}

// Guards against a claim that is archived before it is settled: it must not block its key, nor be revived from the
// archive after it was voided.
func TestArchivedClaims(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		c := newCluster(t)
		keys := keysOfShard0(200)
		a := c.registry(t, "a", smallObjects)
		done := mustClaim(ctx, g, a, keys[0])
		void := mustClaim(ctx, g, a, keys[1])
		time.Sleep(time.Hour)
		for _, k := range keys[2:40] {
			claimAndFinish(ctx, g, a, k, "x")
		}
		b := c.registry(t, "b", smallObjects)
		expectRefused(ctx, g, b, keys[0], "p", core.CodeInProgress)
		g.Expect(a.Finish(ctx, done, true, order.Result{Body: []byte("late")})).To(Succeed())
		g.Expect(a.Void(ctx, void)).To(Succeed())
		for _, k := range keys[40:80] {
			claimAndFinish(ctx, g, a, k, "x")
		}
		expectRecorded(ctx, g, b, keys[0], "late")
		mustClaim(ctx, g, b, keys[1])
		for _, k := range keys[80:120] { // so many claims that unsettled ones are archived immediately
			mustClaim(ctx, g, a, k)
		}
		for _, k := range keys[80:120] {
			expectRefused(ctx, g, b, k, "p", core.CodeInProgress)
		}
	})
}

// Guards against storage that grows without bound, and against keys that are dropped before the retention time.
func TestRetention(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		c := newCluster(t)
		keys := keysOfShard0(200)
		a := c.registry(t, "a", smallObjects)
		large := strings.Repeat("x", 3000)
		claimAndFinish(ctx, g, a, keys[0], large)
		for _, k := range keys[1:100] {
			claimAndFinish(ctx, g, a, k, "x")
		}
		time.Sleep(23 * time.Hour)
		expectRecorded(ctx, g, a, keys[0], large)
		expectRecorded(ctx, g, c.registry(t, "b", smallObjects), keys[1], "x")
		before := len(c.store.Objects("claim"))
		time.Sleep(2 * time.Hour)
		for _, k := range keys[100:110] {
			claimAndFinish(ctx, g, a, k, "x")
		}
		g.Expect(a.Drain(ctx)).To(Succeed())
		g.Expect(len(c.store.Objects("claim"))).To(BeNumerically("<", before-3))
		g.Expect(c.store.Objects("result")).To(BeEmpty())
		g.Expect(a.Counters().Dropped).To(BeNumerically(">", 3))
		mustClaim(ctx, g, a, keys[1]) // the key may be used again after the retention time
		checkArchives(g, c)
	})
}

// Guards against a voided claim that is revived from the archive: if a slow clock dated the void entry in the head, that
// entry would expire before the archived claim.
func TestRetentionWithSlowClock(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		c := newCluster(t)
		keys := keysOfShard0(100)
		slow := c.registry(t, "slow", func(o *order.Options) {
			smallObjects(o)
			o.Now = func() time.Time { return time.Now().Add(-2 * time.Hour) }
		})
		a := c.registry(t, "a", smallObjects)
		tk := mustClaim(ctx, g, slow, keys[0])
		for _, k := range keys[1:50] {
			claimAndFinish(ctx, g, a, k, "x")
		}
		g.Expect(slow.Void(ctx, tk)).To(Succeed())
		time.Sleep(23 * time.Hour)
		mustClaim(ctx, g, a, keys[0])
	})
}

// Guards against accepting claims without room for their results, and against refusing the results of accepted claims.
func TestArchivesFull(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		c := newCluster(t)
		keys := keysOfShard0(300)
		a := c.registry(t, "a", func(o *order.Options) { o.HeadBytes, o.ArchiveBytes, o.MaxArchives = 3000, 7000, 3 })
		var tickets []order.Ticket
		for _, k := range keys {
			tk, _, err := a.Claim(ctx, k, "p")
			if err != nil {
				g.Expect(codeOf(err)).To(Equal(core.CodeClaimsFull))
				break
			}
			tickets = append(tickets, tk)
		}
		g.Expect(len(tickets)).To(BeNumerically("<", len(keys)))
		for _, tk := range tickets {
			g.Expect(a.Finish(ctx, tk, true, order.Result{Body: bytes.Repeat([]byte("x"), order.InlineBytes)})).To(Succeed())
		}
		expectRecorded(ctx, g, c.registry(t, "b", nil), tickets[0].Key, strings.Repeat("x", order.InlineBytes))
		g.Expect(a.Counters().Background).To(BeZero())
	})
}

// Guards against returning a truncated result if the result exceeds the size limit of the object API.
func TestResultTooLarge(t *testing.T) {
	inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
		a := newCluster(t).registry(t, "a", nil)
		claimAndFinish(ctx, g, a, key, strings.Repeat("x", 1<<20))
		expectRefused(ctx, g, a, key, "p", core.CodeOutcomeUnknown)
	})
}

// Guards against two tickets of one key that are both not void, and against a recorded result that changes, in random
// sequences of claims, results, voids, restarts, faults and pauses.
func TestClaimsStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid must draw in one goroutine, so the whole sequence is drawn before synctest runs it.
		type step struct{ op, registry, key, fault int }
		gen := rapid.Custom(func(t *rapid.T) step {
			return step{rapid.IntRange(0, 6).Draw(t, "op"), rapid.IntRange(0, 2).Draw(t, "registry"), rapid.IntRange(0, 3).Draw(t, "key"), rapid.IntRange(0, 9).Draw(t, "fault")}
		})
		steps := rapid.SliceOfN(gen, 1, 60).Draw(rt, "steps")
		var failure string
		inSynctest(t, func(t *testing.T, g *WithT, ctx context.Context) {
			c := newCluster(t)
			keys := keysOfShard0(4)
			var registries [3]*order.Registry
			generation := 0
			start := func(i int) {
				generation++
				registries[i] = c.registry(t, core.InstanceID(fmt.Sprint(i, "-", generation)), func(o *order.Options) { o.HeadBytes, o.ArchiveBytes = 600, 2000 })
			}
			for i := range registries {
				start(i)
			}
			type owned struct {
				order.Ticket
				registry *order.Registry
			}
			tickets := map[core.OrderKey]owned{} // not void
			done := map[core.OrderKey]string{}
			for i, s := range steps {
				b, k := registries[s.registry], keys[s.key]
				if s.fault < 6 {
					c.store.SetFaultFunc(faultFirstCalls(objecttest.OpPut, "claim", objecttest.Fault(s.fault)))
				} else {
					c.store.SetFaultFunc(nil)
				}
				switch s.op {
				case 0, 1, 2:
					tk, res, err := b.Claim(ctx, k, "p")
					switch {
					case err != nil:
					case res != nil:
						if string(res.Body) != done[k] {
							failure = fmt.Sprintf("step %d: result %q of %s, recorded %q", i, res.Body, k, done[k])
							return
						}
					default:
						if old, ok := tickets[k]; ok {
							failure = fmt.Sprintf("step %d: second ticket %v of %s besides %v", i, tk.Attempt, k, old.Attempt)
							return
						}
						if done[k] != "" || !tk.Valid(time.Now()) {
							failure = fmt.Sprintf("step %d: ticket of a finished key, or an expired one", i)
							return
						}
						tickets[k] = owned{tk, b}
					}
				case 3:
					if tk, ok := tickets[k]; ok && done[k] == "" {
						done[k] = string(tk.Attempt)
						_ = tk.registry.Finish(ctx, tk.Ticket, true, order.Result{Body: []byte(tk.Attempt)}) // may continue in the background
					}
				case 4:
					if tk, ok := tickets[k]; ok && done[k] == "" {
						delete(tickets, k)
						_ = tk.registry.Void(ctx, tk.Ticket)
					}
				case 5:
					c.removed[core.InstanceID(fmt.Sprint(s.registry))] = true
					start(s.registry) // tickets of the old process may still be used, as if it were only unreachable
				case 6:
					time.Sleep(time.Duration(s.fault+1) * 3 * time.Second)
				}
			}
			c.store.SetFaultFunc(nil)
			time.Sleep(time.Hour)
			for k, want := range done {
				_, res, err := registries[0].Claim(ctx, k, "p")
				if err != nil || res == nil || string(res.Body) != want {
					failure = fmt.Sprintf("key %s: %v %v, recorded %q", k, res, err, want)
					return
				}
			}
			for _, k := range keys {
				if _, ok := tickets[k]; ok || done[k] != "" {
					continue
				}
				if _, _, err := registries[0].Claim(ctx, k, "p"); err != nil {
					failure = fmt.Sprintf("key %s was never dispatched and stays blocked: %v", k, err)
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against a head object that makes the decoder panic, or that is accepted although it is invalid.
func FuzzDecodeHead(f *testing.F) {
	key := order.HashKey("k")
	for _, s := range []string{
		`{}`, `null`, `{"next":2,"archives":[{"number":1,"time":5}],"entries":[]}`, `{"entries":[null]}`,
		`{"next":1,"archives":[{"number":1}]}`, `{"entries":[{"key":"` + key + `","attempt":"a","state":"claimed"},{"key":"` + key + `","attempt":"b","state":"void"}]}`,
		`{"entries":[{"key":"` + key + `","attempt":"a","state":"done","body":"eA==","past":["b"]}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := order.DecodeHead(b)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, e := range h.Entries {
			if _, err := order.ShardOf(e.Key); err != nil || seen[e.Key] || e.Attempt == "" {
				t.Fatalf("accepted entry %+v", e)
			}
			seen[e.Key] = true
		}
		v, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := order.DecodeHead(v); err != nil && len(v) <= 1<<20 {
			t.Fatalf("own encoding refused: %v", err)
		}
	})
}
