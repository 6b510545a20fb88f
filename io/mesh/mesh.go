// Package mesh exchanges the state of gateways: digests as datagrams, several times a second, and copies of collections
// over HTTP on request. A lost digest is made up for by the next one.
package mesh

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoondale/wire/mesh"
)

const (
	// datagram is the largest datagram in bytes.
	datagram = 60 << 10
	// fetchTimeout bounds the fetching of a copy; it takes milliseconds between instances of a region.
	fetchTimeout = time.Second
	// copyLimit is the largest copy of a collection in bytes.
	copyLimit = 32 << 20
	// socketBuffer is the receive buffer in bytes, enough for digests of some hundred instances.
	socketBuffer = 512 << 10
)

// Options configures a Mesh.
type Options struct {
	Address string // IP:PORT for datagrams and for HTTP
	// OnDigest is called with each digest, one at a time.
	OnDigest func(d mesh.Digest)
	// Copy returns this instance's copy of a collection, or what has changed in it after a revision; ok is false if it
	// has none.
	Copy func(collection string, after int) (c mesh.Copy, ok bool)
	// OnError is called with errors that concern single messages.
	OnError func(err error)
}

// Mesh is one instance's end of the exchange.
type Mesh struct {
	o      Options
	udp    *net.UDPConn
	server *http.Server
	client *http.Client
}

// Listen opens the sockets and starts to receive.
func Listen(o Options) (*Mesh, error) {
	a, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "mesh address")
	}
	udp, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	if err := udp.SetReadBuffer(socketBuffer); err != nil {
		o.OnError(errors.Wrap(err, "receive buffer"))
	}
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		udp.Close()
		return nil, errors.Wrap(err, "listen for copies")
	}
	m := &Mesh{o: o, udp: udp, client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /copy/{collection}", m.serveCopy)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, WriteTimeout: 5 * fetchTimeout}
	go m.server.Serve(l) // ends with Close
	go m.receive()
	return m, nil
}

// Close closes the sockets.
func (m *Mesh) Close() {
	m.udp.Close()
	m.server.Close()
}

// SendDigest sends a digest to an address.
func (m *Mesh) SendDigest(payload []byte, to *net.UDPAddr) error {
	_, err := m.udp.WriteToUDP(payload, to)
	return errors.Wrap(err, "send a digest")
}

func (m *Mesh) receive() {
	b := make([]byte, datagram)
	for {
		n, _, err := m.udp.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.o.OnError(errors.Wrap(err, "receive a digest"))
			continue
		}
		var d mesh.Digest
		if err := json.Unmarshal(b[:n], &d); err != nil {
			m.o.OnError(errors.Wrap(err, "decode a digest"))
			continue
		}
		m.o.OnDigest(d)
	}
}

func (m *Mesh) serveCopy(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	c, ok := m.o.Copy(r.PathValue("collection"), after)
	if !ok {
		http.Error(w, "no copy", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(c); err != nil {
		m.o.OnError(errors.Wrap(err, "send a copy"))
	}
}

// FetchCopy returns another instance's copy of a collection, or what has changed in it after a revision.
func (m *Mesh) FetchCopy(ctx context.Context, address, collection string, after int) (mesh.Copy, error) {
	var c mesh.Copy
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/copy/"+collection+"?after="+strconv.Itoa(after), nil)
	if err != nil {
		return c, errors.WithStack(err)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return c, errors.Wrap(err, "fetch a copy")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c, errors.Errorf("fetch a copy: status %d", resp.StatusCode)
	}
	return c, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, copyLimit)).Decode(&c), "decode a copy")
}
