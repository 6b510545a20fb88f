package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"monsoondale/core"
	"monsoondale/core/pool"
	"monsoondale/core/route"
	"monsoondale/io/mesh"
	"monsoondale/io/proxy"
	wire "monsoondale/wire/mesh"
)

// placesNode is the part of an instance that asks and grants, with one endpoint of two slots.
type placesNode struct {
	*keptPlaces
	pool    *pool.Pool
	address string
}

// freeMeshAddress returns a loopback address with a port that is unused for datagrams and connections, below the range from which the
// kernel takes the ports of outgoing connections.
func freeMeshAddress(t *testing.T) string {
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", 20000+rand.IntN(12000))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp4", address)
		l.Close()
		if err == nil {
			p.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func newPlacesNode(t *testing.T, name core.InstanceID) *placesNode {
	g := NewWithT(t)
	n := &placesNode{address: freeMeshAddress(t)}
	gw := &Gateway{
		o:   Options{Settings: &Settings{Name: name, Centre: "a", MeshAddress: n.address, ProcessorPower: 1000}},
		log: logr.Discard(), start: time.Now().Truncate(time.Millisecond), metrics: metrics.NewRegistry(),
	}
	gw.config.Store(&proxy.Config{})
	n.keptPlaces = newKeptPlaces(gw)
	n.pool = pool.New(pool.Options{Centre: "a", Keeper: n.id, Places: n.observer("s")})
	n.pool.SetEndpoints(time.Now(), []pool.Endpoint{{ID: "e", Address: "10.0.0.1:80", Centre: "a", Slots: 2}})
	gw.config.Store(&proxy.Config{Pools: map[route.Service]*pool.Pool{"s": n.pool}})
	m, err := mesh.Listen(mesh.Options{
		Address: n.address, OnPlaces: func(m wire.Places) { n.receive(time.Now(), &m) }, OnError: func(err error) { t.Log(err) },
		Copy: func(string, int, bool) (wire.Copy, bool) { return wire.Copy{}, false },
	})
	g.Expect(err).ToNot(HaveOccurred())
	n.mesh.Store(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { n.run(ctx); done <- struct{}{} }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(tickInterval)
			n.pool.Tick(time.Now())
			n.tick(time.Now())
		}
		done <- struct{}{}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		m.Close()
	})
	return n
}

// follow makes an instance ask a keeper.
func (n *placesNode) follow(k *placesNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups["s"] = 1
	n.keepers[placesKey{"s", 0}] = keeper{name: k.self, address: k.address, id: k.id, start: k.g.start.UnixMilli(), centre: "a"}
}

func (n *placesNode) submit() *pool.Ticket {
	now := time.Now()
	return n.Submit(now, "s", n.pool, pool.Request{ID: "r", Tier: 1, Prompt: 100, Arrived: now, Objective: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second)})
}

// decision waits for the decision on a ticket, for a second at most.
func decision(t *pool.Ticket) pool.Decision {
	select {
	case d := <-t.Decided:
		return d
	case <-time.After(time.Second):
		return nil
	}
}

// Guards against asks that get lost between instances, wait although a place is free, or leave places behind.
func TestAskKeeper(t *testing.T) {
	g := NewWithT(t)
	k, n := newPlacesNode(t, "keeper"), newPlacesNode(t, "holder")
	k.follow(k)
	n.follow(k)
	own, ok := decision(k.submit()).(*pool.Grant)
	g.Expect(ok).To(BeTrue(), "the keeper's own request")
	first, ok := decision(n.submit()).(*pool.Grant)
	g.Expect(ok).To(BeTrue())
	g.Expect([]string{own.Decider, first.Decider}).To(Equal([]string{"keeper", "keeper"}))
	g.Expect(first.RunningAtEndpoint).To(Equal(1), "the holder alone knows of none")

	waiting, withdrawn := n.submit(), n.submit()
	time.Sleep(250 * time.Millisecond) // longer than without signs of the keeper
	g.Expect(k.pool.Waiting()).To(Equal(2))
	g.Expect(n.Withdraw(time.Now(), n.pool, withdrawn)).To(BeNil())
	g.Eventually(k.pool.Waiting, "1s", "1ms").Should(Equal(1))
	k.pool.Release(time.Now(), own, pool.Served)
	second, ok := decision(waiting).(*pool.Grant)
	g.Expect(ok).To(BeTrue(), "gets the place that is free")
	g.Expect(second.Decider).To(Equal("keeper"))
	g.Expect(k.pool.Lent()).To(Equal(2))
	for _, v := range []*pool.Grant{first, second} {
		n.pool.RecordFirstEvent(time.Now(), v)
		n.pool.Release(time.Now(), v, pool.Served)
	}
	g.Eventually(k.pool.Lent, "1s", "1ms").Should(BeZero())
	n.mu.Lock()
	defer n.mu.Unlock()
	g.Expect(n.asker.Pending()).To(BeZero())
	g.Expect(n.byTicket).To(BeEmpty())
	g.Expect(n.held).To(BeEmpty())
}

// A keeper gives no sign, then answers late. Guards against requests that wait for it, and against places that stay lent.
func TestSilentKeeper(t *testing.T) {
	g := NewWithT(t)
	k, n := newPlacesNode(t, "keeper"), newPlacesNode(t, "holder")
	n.follow(k)
	k.mu.Lock() // it can't handle messages
	start := time.Now()
	for _, want := range []string{"local: silent", "local: doubt"} {
		granted, ok := decision(n.submit()).(*pool.Grant)
		g.Expect(ok).To(BeTrue())
		g.Expect(granted.Decider).To(Equal(want))
		n.pool.Release(time.Now(), granted, pool.Served)
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
	k.mu.Unlock()
	g.Eventually(func() int64 {
		return metrics.GetOrRegisterCounter("places.returned", n.g.metrics).Count()
	}, "1s", "1ms").Should(BeEquivalentTo(1), "the late grant")
	g.Eventually(k.pool.Lent, "1s", "1ms").Should(BeZero())
	g.Eventually(func() string {
		granted, _ := decision(n.submit()).(*pool.Grant)
		n.pool.Release(time.Now(), granted, pool.Served)
		return granted.Decider
	}, "2s", "20ms").Should(Equal("keeper"), "trusted again")
}

// Guards against a repeated or malformed message that frees a place which is in use, or ends the process.
func TestOddMessagesOfKeeper(t *testing.T) {
	g := NewWithT(t)
	k, n := newPlacesNode(t, "keeper"), newPlacesNode(t, "holder")
	n.follow(k)
	granted, ok := decision(n.submit()).(*pool.Grant)
	g.Expect(ok).To(BeTrue())
	n.mu.Lock()
	var number int
	for id := range n.held {
		number = int(id.Number)
	}
	n.mu.Unlock()
	m := wire.Places{From: "keeper", Address: k.address, Start: int(k.g.start.UnixMilli()), Centre: "a"}
	m.Answers = []wire.Answer{{Number: number, Endpoint: "e"}, {Number: -1, Endpoint: "none"}, {Number: 0, Reason: "x", Retry: -5}}
	n.receive(time.Now(), &m)
	odd := wire.Places{From: "odd", Address: "nowhere", Centre: "", Start: -1, Waiting: []int{-1}, Withdrawn: []int{-1, 5}}
	odd.Asks = []wire.Ask{{Number: -1, Service: "s", Age: -1, Deadline: 1 << 40, Groups: -3, Group: -7, Tier: 99, Rank: -9, Prompt: -4}, {Number: 1, Service: "unknown"}}
	odd.Ended = []wire.Ended{{Served: []int{-1, 1}}, {Service: "unknown", Began: []int{1}}}
	odd.Rooms = []wire.Room{{Service: "s", Free: -1 << 40}, {Service: "unknown", Free: 1}}
	k.receive(time.Now(), &odd)
	time.Sleep(20 * time.Millisecond)
	free, _ := k.pool.Free(time.Now())
	g.Expect(free).To(Equal(0), "the place in use, and that of the odd ask")
	n.pool.Release(time.Now(), granted, pool.Served)
	g.Eventually(func() int { free, _ := k.pool.Free(time.Now()); return free }, "1s", "1ms").Should(Equal(1))
}
