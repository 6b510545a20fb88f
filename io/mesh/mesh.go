// Package mesh exchanges state between gateways: each sends digests as UDP datagrams several times a second, and serves
// copies of collections over HTTP on request. Lost digests are not resent, since the next one replaces them.
package mesh

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"monsoondale/common/bounded"
	"monsoondale/wire/mesh"
)

const (
	maxDatagramBytes = 60 << 10
	// fetchTimeout is the time limit for fetching a copy, which takes milliseconds between instances of a region.
	fetchTimeout = time.Second
	// maxCopyBytes is the size of the largest copy of a collection. The copy and its decoded form are in memory at once.
	maxCopyBytes = 8 << 20
	// maxHeaderBytes is the size of the largest header of a request for a copy.
	maxHeaderBytes = 8 << 10
	// maxTransfers is the number of copies that are sent at once. Further ones would only share the link, which may be slow,
	// until all of them exceed fetchTimeout. The instances that are turned away fetch from those that have received theirs.
	maxTransfers = 4
	// receiveBufferBytes is the size of the receive buffer of the socket. It holds the digests of several hundred instances.
	receiveBufferBytes = 512 << 10
)

// Options configures a Mesh.
type Options struct {
	Address string // IP:PORT for both UDP and HTTP
	// OnDigest is called with each digest that is received, one at a time.
	OnDigest func(d mesh.Digest)
	// OnPlaces is called with each message about places that is received, one at a time.
	OnPlaces func(m mesh.Places)
	// Copy returns this instance's copy of a collection, or only the changes after a revision. ok is false if there is no
	// copy. marks is false for receivers that would take objects in doubt for objects in the store.
	Copy func(collection string, after int, marks bool) (c mesh.Copy, ok bool)
	// OnError is called with errors of single messages and with an error to set the receive buffer.
	OnError func(err error)
}

// Mesh sends and receives the digests of one instance and serves its copies.
type Mesh struct {
	o      Options
	udp    *net.UDPConn
	server *http.Server
	client *http.Client
	// transfers has an element for each copy that is being sent.
	transfers chan struct{}
}

// Listen opens the sockets and starts receiving.
func Listen(o Options) (*Mesh, error) {
	a, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve mesh address")
	}
	udp, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrap(err, "listen for digests")
	}
	if err := udp.SetReadBuffer(receiveBufferBytes); err != nil {
		o.OnError(errors.Wrap(err, "set receive buffer"))
	}
	l, err := net.Listen("tcp4", o.Address)
	if err != nil {
		udp.Close()
		return nil, errors.Wrap(err, "listen for copies")
	}
	m := &Mesh{o: o, udp: udp, transfers: make(chan struct{}, maxTransfers), client: &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: bounded.MaxHeaderBytes}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /copy/{collection}", m.serveCopy)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: fetchTimeout, WriteTimeout: 5 * fetchTimeout, MaxHeaderBytes: maxHeaderBytes}
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
	return errors.Wrap(err, "send digest")
}

// SendPlaces sends a message about places to an address.
func (m *Mesh) SendPlaces(p *mesh.Places, to *net.UDPAddr) (int, error) {
	b, err := encodePlaces(p)
	if err != nil {
		return 0, errors.Wrap(err, "encode message about places")
	}
	_, err = m.udp.WriteToUDP(b, to)
	return len(b), errors.Wrap(err, "send message about places")
}

// receive passes received digests to OnDigest until the socket is closed.
func (m *Mesh) receive() {
	b := make([]byte, maxDatagramBytes)
	for {
		n, _, err := m.udp.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.o.OnError(errors.Wrap(err, "receive digest"))
			continue
		}
		if n > 0 && b[0] == placesMark {
			p, err := decodePlaces(b[1:n])
			if err != nil {
				m.o.OnError(errors.Wrap(err, "decode message about places"))
			} else if m.o.OnPlaces != nil {
				m.o.OnPlaces(p)
			}
			continue
		}
		d, err := decodeDigest(b[:n])
		if err != nil {
			m.o.OnError(errors.Wrap(err, "decode digest"))
			continue
		}
		m.o.OnDigest(d)
	}
}

// serveCopy handles GET /copy/{collection}?after=REVISION&marks=1. Instances of the version before do not ask for marks.
func (m *Mesh) serveCopy(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case m.transfers <- struct{}{}:
		defer func() { <-m.transfers }()
	default:
		http.Error(w, "too many transfers", http.StatusServiceUnavailable)
		return
	}
	c, ok := m.o.Copy(r.PathValue("collection"), after, r.FormValue("marks") == "1")
	if !ok {
		http.Error(w, "no copy", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := writeCopy(w, c, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")); err != nil {
		m.o.OnError(errors.Wrap(err, "send copy"))
		panic(http.ErrAbortHandler) // the response must not look complete
	}
}

// writeCopy writes a copy, compressed if the receiver allows it.
func writeCopy(w http.ResponseWriter, c mesh.Copy, compress bool) error {
	if !compress {
		return json.NewEncoder(w).Encode(c)
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return err
	}
	return z.Close()
}

// FetchCopy fetches another instance's copy of a collection, or only the changes after a revision.
func (m *Mesh) FetchCopy(ctx context.Context, address, collection string, after int) (mesh.Copy, error) {
	var c mesh.Copy
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/copy/"+collection+"?marks=1&after="+strconv.Itoa(after), nil)
	if err != nil {
		return c, errors.WithStack(err)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return c, errors.Wrap(err, "fetch copy")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return c, errors.Errorf("fetch copy: status %d", resp.StatusCode)
	}
	b, err := bounded.ReadAll(resp.Body, maxCopyBytes)
	if err != nil {
		return c, errors.Wrap(err, "read copy")
	}
	c, err = decodeCopy(b)
	return c, errors.Wrap(err, "decode copy")
}
