// Package certs loads TLS certificates from files and reloads them when the files change.
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
	// minReadInterval is the minimum time between two reads of the files. New contents take effect only when two reads
	// return the same, since the files may be written one after the other and in parts.
	minReadInterval = time.Second
	// WatchInterval is the interval at which Watch reads the files.
	WatchInterval = 2 * time.Second
	// maxFileBytes is the size of the largest file. A bundle of all public authorities has about 250 KB.
	maxFileBytes = 1 << 20
)

// Files holds the paths of a certificate chain, its private key and the certificates of the authorities that must have
// issued the certificate of the remote side, all in PEM. CA may be empty; Cert and Key may be empty only together.
type Files struct {
	Cert, Key, CA string
}

// FileError reports a file that cannot be used.
type FileError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// contents holds the contents of Files as comparable strings.
type contents struct{ cert, key, ca string }

// Material is the result of parsing the files.
type Material struct {
	Certificate *tls.Certificate // nil without a certificate
	Authorities *x509.CertPool   // nil without a CA file
	Expires     time.Time        // of the certificate
}

// Load reads and parses the files. The error is a *FileError.
func Load(f Files) (*Material, error) {
	c, err := read(f)
	if err != nil {
		return nil, err
	}
	return parse(f, c)
}

// read returns the contents of the files. Empty paths are skipped.
func read(f Files) (c contents, err error) {
	for _, file := range []struct {
		path string
		text *string
	}{{f.Cert, &c.cert}, {f.Key, &c.key}, {f.CA, &c.ca}} {
		if file.path == "" {
			continue
		}
		if *file.text, err = readFile(file.path); err != nil {
			return c, &FileError{file.path, err}
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
	b, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	switch {
	case err != nil:
		return "", errors.WithMessage(err, "cannot be read")
	case len(b) > maxFileBytes:
		return "", errors.Errorf("exceeds %d bytes", maxFileBytes)
	}
	return string(b), nil
}

// parse parses the contents of the files.
func parse(f Files, c contents) (*Material, error) {
	m := &Material{}
	if f.Cert != "" {
		for _, file := range []struct{ path, text string }{{f.Cert, c.cert}, {f.Key, c.key}} {
			if err := checkCompletePEM(file.text); err != nil {
				return nil, &FileError{file.path, err}
			}
		}
		pair, err := tls.X509KeyPair([]byte(c.cert), []byte(c.key))
		if err != nil {
			return nil, &FileError{f.Cert, errors.WithMessagef(err, "does not form a pair with %s", f.Key)}
		}
		m.Certificate, m.Expires = &pair, pair.Leaf.NotAfter
	}
	if f.CA != "" {
		if err := checkCompletePEM(c.ca); err != nil {
			return nil, &FileError{f.CA, err}
		}
		m.Authorities = x509.NewCertPool()
		if !m.Authorities.AppendCertsFromPEM([]byte(c.ca)) {
			return nil, &FileError{f.CA, errors.New("contains no certificate")}
		}
	}
	return m, nil
}

// checkCompletePEM returns an error for text that has no block or ends within a block. The parsers of crypto/tls ignore an
// incomplete block at the end.
func checkCompletePEM(text string) error {
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
	// OnChange is called with new material when it takes effect, or with the error why new contents cannot be used. The
	// same error is reported only once in a row.
	OnChange func(*Material, error)
	// Now is the clock; default time.Now.
	Now func() time.Time
}

// Source holds the current material and replaces it when the files change. It keeps the current material if the new
// contents cannot be read, are incomplete or do not match. It is safe for concurrent use.
type Source struct {
	o Options

	mu       sync.Mutex
	current  *Material
	loaded   contents  // of current
	pending  *contents // new contents that were read once
	lastRead time.Time
	lastErr  string // last error that was reported
}

// New reads and parses the files. The error is a *FileError.
func New(o Options) (*Source, error) {
	if o.OnChange == nil {
		o.OnChange = func(*Material, error) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Source{o: o, lastRead: o.Now()}
	var err error
	if s.loaded, err = read(o.Files); err != nil {
		return nil, err
	}
	s.current, err = parse(o.Files, s.loaded)
	return s, err
}

// Watch reads the files periodically until ctx ends, so that errors are reported even without connections.
func (s *Source) Watch(ctx context.Context) {
	t := time.NewTicker(WatchInterval)
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

// Get returns the current material. It reads the files first if the last read is old enough.
func (s *Source) Get() *Material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.o.Now(); now.Sub(s.lastRead) >= minReadInterval {
		s.lastRead = now
		s.refresh()
	}
	return s.current
}

// refresh reads the files. New contents take effect if the previous read returned the same.
func (s *Source) refresh() {
	c, err := read(s.o.Files)
	if err != nil {
		s.pending = nil
		s.report(err)
		return
	}
	if c == s.loaded {
		s.pending, s.lastErr = nil, ""
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
	s.current, s.loaded, s.pending, s.lastErr = m, c, nil, ""
	s.o.OnChange(m, nil)
}

// report passes an error to OnChange unless it is the same as the last one.
func (s *Source) report(err error) {
	if s.lastErr != err.Error() {
		s.lastErr = err.Error()
		s.o.OnChange(nil, err)
	}
}

// ServerConfig returns the TLS configuration of a listener. If the material has authorities, clients must present a
// certificate from one of them.
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
			// A resumed session would not be verified against authorities that have been replaced since.
			c.SessionTicketsDisabled = true
		}
		return c, nil
	}
	return c
}

// ClientConfig returns the TLS configuration of one connection to host. The client presents the current certificate and
// accepts only servers with a certificate from the current authorities.
func (s *Source) ClientConfig(host string) *tls.Config {
	m := s.Get()
	c := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: m.Authorities, NextProtos: []string{"h2"}}
	if m.Certificate != nil {
		c.Certificates = []tls.Certificate{*m.Certificate}
	}
	return c
}
