package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"monsoondale/common/certs"
	"monsoondale/common/certs/certstest"
	wire "monsoondale/wire/peer"
)

// countingHandler is a MessageHandler that counts the messages that reach it.
type countingHandler struct{ count atomic.Int32 }

func reply[Resp any](c *countingHandler) (resp Resp, _ error) {
	c.count.Add(1)
	return resp, nil
}

func (c *countingHandler) Ask(context.Context, wire.Ask) (wire.Answer, error) {
	return reply[wire.Answer](c)
}

func (c *countingHandler) Sync(context.Context, wire.Sync) (wire.Synced, error) {
	return reply[wire.Synced](c)
}

func (c *countingHandler) Floor(context.Context, wire.Floor) (wire.Floored, error) {
	return reply[wire.Floored](c)
}

func (c *countingHandler) Claim(context.Context, wire.Claim) (wire.Claimed, error) {
	return reply[wire.Claimed](c)
}

func (c *countingHandler) Gossip(context.Context, wire.Gossip) (wire.Gossip, error) {
	return reply[wire.Gossip](c)
}

func (c *countingHandler) Suspend(context.Context, wire.Suspend) (wire.Suspended, error) {
	return reply[wire.Suspended](c)
}

func (c *countingHandler) Release(context.Context, wire.Release) (struct{}, error) {
	return reply[struct{}](c)
}

func (c *countingHandler) Withdraw(context.Context, wire.Withdraw) (struct{}, error) {
	return reply[struct{}](c)
}

func (c *countingHandler) Report(context.Context, struct{}) (json.RawMessage, error) {
	c.count.Add(1)
	return json.RawMessage(`{}`), nil
}

// messages lists a function per kind of message that sends one.
var messages = []struct {
	name string
	send func(ctx context.Context, c *Client, addr string) error
}{
	{pathAsk, func(ctx context.Context, c *Client, a string) error { _, err := c.Ask(ctx, a, wire.Ask{}); return err }},
	{pathRelease, func(ctx context.Context, c *Client, a string) error { return c.Release(ctx, a, wire.Release{}) }},
	{pathWithdraw, func(ctx context.Context, c *Client, a string) error { return c.Withdraw(ctx, a, wire.Withdraw{}) }},
	{pathSync, func(ctx context.Context, c *Client, a string) error {
		_, err := c.Sync(ctx, a, wire.Sync{})
		return err
	}},
	{pathSuspend, func(ctx context.Context, c *Client, a string) error {
		_, err := c.Suspend(ctx, a, wire.Suspend{})
		return err
	}},
	{pathFloor, func(ctx context.Context, c *Client, a string) error {
		_, err := c.Floor(ctx, a, wire.Floor{})
		return err
	}},
	{pathClaim, func(ctx context.Context, c *Client, a string) error {
		_, err := c.Claim(ctx, a, wire.Claim{})
		return err
	}},
	{pathGossip, func(ctx context.Context, c *Client, a string) error {
		_, err := c.Gossip(ctx, a, wire.Gossip{})
		return err
	}},
	{pathReport, func(ctx context.Context, c *Client, a string) error { _, err := c.Report(ctx, a); return err }},
}

// serve starts a server that accepts the key "right". It returns its address and the protocol of the last request.
func serve(t *testing.T, s MessageHandler, cfg *tls.Config) (string, *atomic.Value) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var proto atomic.Value
	h := NewHandler(s, func(key string) bool { return key == "right" })
	srv := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		proto.Store(r.Proto)
		h.ServeHTTP(w, r)
	}))
	srv.ErrorLog = log.New(t.Output(), "", 0)
	if srv.TLSConfig = cfg; cfg != nil {
		go srv.ServeTLS(l, "", "")
	} else {
		go srv.Serve(l)
	}
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String(), &proto
}

func newSource(t *testing.T, f certs.Files) *certs.Source {
	t.Helper()
	s, err := certs.New(certs.Options{Files: f})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a message that is served without a key or with a wrong one.
func TestEveryMessageRequiresKey(t *testing.T) {
	var s countingHandler
	addr, proto := serve(t, &s, nil)
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) {
			g := NewWithT(t)
			for _, key := range []string{"", "wrong", "right2", "Bearer right"} {
				c := NewClient(Options{Key: key})
				g.Expect(m.send(t.Context(), c, addr)).To(MatchError(ErrRejected))
				c.Close()
			}
			before := s.count.Load()
			c := NewClient(Options{Key: "right"})
			defer c.Close()
			g.Expect(m.send(t.Context(), c, addr)).To(Succeed())
			g.Expect(s.count.Load()).To(Equal(before + 1))
			g.Expect(proto.Load()).To(Equal("HTTP/2.0"))
		})
	}
	NewWithT(t).Expect(s.count.Load()).To(BeEquivalentTo(len(messages)), "a refused message reached the handler")
}

// Guards against connections to or from machines with a certificate of another authority.
func TestAuthorities(t *testing.T) {
	authority, otherAuthority := certstest.NewAuthority(t), certstest.NewAuthority(t)
	server, same, other := authority.Issue(t.TempDir(), "server"), authority.Issue(t.TempDir(), "same"), otherAuthority.Issue(t.TempDir(), "other")
	wrongCert := certs.Files{Cert: other.Cert, Key: other.Key, CA: same.CA} // trusts the authority, but has a certificate of the other one
	wrongCA := certs.Files{Cert: same.Cert, Key: same.Key, CA: other.CA}    // has a certificate of the authority, but trusts the other one
	var s countingHandler
	addr, proto := serve(t, &s, newSource(t, server).ServerConfig())
	plain, _ := serve(t, &s, nil)
	for _, c := range []struct {
		name   string
		files  *certs.Files // nil: cleartext
		addr   string
		served bool
	}{
		{"same authority", &same, addr, true},
		{"client of another authority", &other, addr, false},
		{"the client trusts another authority", &wrongCA, addr, false},
		{"the client's certificate is of another authority", &wrongCert, addr, false},
		{"the client has no certificate", &certs.Files{CA: same.CA}, addr, false},
		{"cleartext client", nil, addr, false},
		{"cleartext server", &same, plain, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			before := s.count.Load()
			var tlsConfig func(string) *tls.Config
			if c.files != nil {
				tlsConfig = newSource(t, *c.files).ClientConfig
			}
			client := NewClient(Options{Key: "right", TLS: tlsConfig})
			defer client.Close()
			_, err := client.Gossip(t.Context(), c.addr, wire.Gossip{})
			if c.served {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(proto.Load()).To(Equal("HTTP/2.0"))
				return
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, ErrRejected)).To(BeFalse(), "the message reached the handler")
			g.Expect(s.count.Load()).To(Equal(before))
		})
	}
}
