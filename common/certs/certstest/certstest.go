// Package certstest issues certificates for tests.
package certstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"monsoondale/common/certs"
)

// Authority issues certificates for 127.0.0.1.
type Authority struct {
	t    testing.TB
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a new authority with its own key.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{t: t, key: newKey(t)}
	a.cert = a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, a.key)
	return a
}

// Issue writes a new certificate, its key and the authority's certificate to files in dir and replaces existing ones.
func (a *Authority) Issue(dir, name string) certs.Files {
	a.t.Helper()
	key := newKey(a.t)
	c := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	check(a.t, err)
	f := certs.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	write(a.t, f.Cert, "CERTIFICATE", c.Raw)
	write(a.t, f.Key, "PRIVATE KEY", der)
	write(a.t, f.CA, "CERTIFICATE", a.cert.Raw)
	return f
}

// CertPool returns a pool that contains the authority's certificate.
func (a *Authority) CertPool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// sign issues a certificate for key. The first certificate is self-signed.
func (a *Authority) sign(c *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	a.t.Helper()
	var err error
	c.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<62))
	check(a.t, err)
	c.NotBefore, c.NotAfter = time.Now().Add(-time.Minute), time.Now().Add(time.Hour)
	parent := a.cert
	if parent == nil {
		parent = c
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), a.key)
	check(a.t, err)
	out, err := x509.ParseCertificate(der)
	check(a.t, err)
	return out
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

// write writes a PEM file with one block of the given type.
func write(t testing.TB, path, blockType string, der []byte) {
	check(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
