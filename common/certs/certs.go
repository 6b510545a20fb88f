// Package certs keeps certificates in force that are replaced on disk while the process runs.
package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// settle is the least time between two readings of the files. New contents are put in force only when two readings
	// find the same ones, since the files may be written one after the other and in parts.
	settle = time.Second
	// Interval is how often Watch reads the files.
	Interval = 2 * time.Second
	// maxFile bounds a file. A bundle of all public authorities has about 250 KB.
	maxFile = 1 << 20
)

// Files names a certificate chain, its private key and the authorities that the other side's certificate must come
// from, all in PEM. CA may be empty, Cert and Key only together.
type Files struct {
	Cert, Key, CA string
}

// FileError is a file that cannot be used.
type FileError struct {
	Path string
	Err  error
}

// Error names the file and the reason.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FileError) Unwrap() error { return e.Err }

// contents are the bytes of Files, comparable.
type contents struct{ cert, key, ca string }

// Material is what one consistent reading of the files contains.
type Material struct {
	Certificate *tls.Certificate // nil without a certificate
	Authorities *x509.CertPool   // nil without a CA file
	Expires     time.Time        // of the certificate
}

// Load reads and checks the files. The error is a *FileError.
func Load(f Files) (*Material, error) {
	c, err := read(f)
	if err != nil {
		return nil, err
	}
	return parse(f, c)
}

func read(f Files) (c contents, err error) {
	for _, x := range []struct {
		path string
		to   *string
	}{{f.Cert, &c.cert}, {f.Key, &c.key}, {f.CA, &c.ca}} {
		if x.path == "" {
			continue
		}
		if *x.to, err = readFile(x.path); err != nil {
			return c, &FileError{x.path, err}
		}
	}
	return c, nil
}

func readFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", errors.WithMessage(errors.Unwrap(err), "cannot be read")
	}
	if !info.Mode().IsRegular() {
		return "", errors.New("is not a regular file")
	}
	file, err := os.Open(path)
	if err != nil {
		return "", errors.WithMessage(errors.Unwrap(err), "cannot be read")
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxFile+1))
	switch {
	case err != nil:
		return "", errors.WithMessage(err, "cannot be read")
	case len(b) > maxFile:
		return "", errors.Errorf("exceeds %d bytes", maxFile)
	}
	return string(b), nil
}

func parse(f Files, c contents) (*Material, error) {
	m := &Material{}
	if f.Cert != "" {
		for _, x := range []struct{ path, text string }{{f.Cert, c.cert}, {f.Key, c.key}} {
			if err := wholePEM(x.text); err != nil {
				return nil, &FileError{x.path, err}
			}
		}
		pair, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
		if err != nil {
			return nil, &FileError{f.Cert, errors.WithMessagef(err, "does not form a pair with %s", f.Key)}
		}
		m.Certificate, m.Expires = &pair, pair.Leaf.NotAfter
	}
	if f.CA != "" {
		if err := wholePEM(c.ca); err != nil {
			return nil, &FileError{f.CA, err}
		}
		m.Authorities = x509.NewCertPool()
		if !m.Authorities.AppendCertsFromPEM([]byte(c.ca)) {
			return nil, &FileError{f.CA, errors.New("contains no certificate")}
		}
	}
	return m, nil
}

// wholePEM refuses files that end within a block: the parsers of crypto/tls skip such a rest without an error.
func wholePEM(text string) error {
	rest, blocks := []byte(text), 0
	for {
		b, tail := pem.Decode(rest)
		if b == nil {
			break
		}
		rest, blocks = tail, blocks+1
	}
	if blocks == 0 || bytes.Contains(rest, []byte("-----")) {
		return errors.New("is not a complete PEM file")
	}
	return nil
}

// Options configures a Source.
type Options struct {
	Files Files
	// OnChange is called with the material that was put in force, or with the reason why new contents are not. It is
	// called once for each change of state.
	OnChange func(*Material, error)
	// Now is the clock; default time.Now.
	Now func() time.Time
}

// Source holds the material in force and replaces it when the files change. New contents that are unreadable,
// incomplete or do not match leave the material in force as it is. A Source is safe for concurrent use.
type Source struct {
	o Options

	mu      sync.Mutex
	force   *Material
	have    contents
	pending *contents // read once, not yet in force
	read    time.Time
	fault   string // last reason that was reported
}

// New reads and checks the files. The error is a *FileError.
func New(o Options) (*Source, error) {
	if o.OnChange == nil {
		o.OnChange = func(*Material, error) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Source{o: o, read: o.Now()}
	var err error
	if s.have, err = read(o.Files); err != nil {
		return nil, err
	}
	s.force, err = parse(o.Files, s.have)
	return s, err
}

// Watch reads the files at an interval until ctx ends, so that faults are reported also without connections.
func (s *Source) Watch(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Get()
		}
	}
}

// Get returns the material in force. It reads the files if the last reading is old enough.
func (s *Source) Get() *Material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.o.Now(); now.Sub(s.read) >= settle {
		s.read = now
		s.refresh()
	}
	return s.force
}

func (s *Source) refresh() {
	c, err := read(s.o.Files)
	if err != nil {
		s.pending = nil
		s.report(err)
		return
	}
	if c == s.have {
		s.pending, s.fault = nil, ""
		return
	}
	if s.pending == nil || *s.pending != c {
		s.pending = &c
		return
	}
	m, err := parse(s.o.Files, c)
	if err != nil {
		s.report(err)
		return
	}
	s.force, s.have, s.pending, s.fault = m, c, nil, ""
	s.o.OnChange(m, nil)
}

func (s *Source) report(err error) {
	if s.fault != err.Error() {
		s.fault = err.Error()
		s.o.OnChange(nil, err)
	}
}

// ServerConfig returns the configuration of a listener. With authorities, clients must present a certificate from one of
// them.
func (s *Source) ServerConfig() *tls.Config {
	base := func() *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	}
	c := base()
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m, c := s.Get(), base()
		c.Certificates = []tls.Certificate{*m.Certificate}
		if m.Authorities != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.Authorities
			// A resumed session would skip the check against authorities that were replaced meanwhile.
			c.SessionTicketsDisabled = true
		}
		return c, nil
	}
	return c
}

// ClientConfig returns the configuration of one connection to host, which presents the certificate in force and accepts
// only servers with a certificate from the authorities in force.
func (s *Source) ClientConfig(host string) *tls.Config {
	m := s.Get()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: m.Authorities, NextProtos: []string{"h2"}}
	if m.Certificate != nil {
		c.Certificates = []tls.Certificate{*m.Certificate}
	}
	return c
}
