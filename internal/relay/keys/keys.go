// Package keys creates and loads the certificates with which foxcross's processes
// authenticate each other.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"
)

// ServerName is the DNS name in every process's certificate. A process is authenticated by
// the authority that signed its certificate, not by its address.
const ServerName = "foxcross.internal"

const (
	// clockSkew is how long before the time of issue a certificate becomes valid.
	clockSkew = time.Hour
	// serialBits is the length of a random serial number. RFC 5280, 4.1.2.2 allows 160 bits.
	serialBits = 120
)

// Authority is a certificate authority for processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// KeyPair is a certificate and its key in PEM format.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates an authority that is valid for a limited time from now.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	template := template("foxcross authority", now, validity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &Authority{certificate, key}, nil
}

func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // never fails
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}
}

// Certificate returns the authority's certificate in PEM format.
func (a *Authority) Certificate() []byte { return encode("CERTIFICATE", a.certificate.Raw) }

// KeyPair returns the authority's certificate and key in PEM format.
func (a *Authority) KeyPair() (KeyPair, error) {
	key, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: %w", err)
	}
	return KeyPair{Certificate: a.Certificate(), Key: encode("EC PRIVATE KEY", key)}, nil
}

// LoadAuthority parses an authority from the pair returned by KeyPair.
func LoadAuthority(p KeyPair) (*Authority, error) {
	pair, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.New("keys: authority: not an elliptic curve key")
	}
	certificate, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("keys: authority: %w", err)
	}
	return &Authority{certificate, key}, nil
}

// Issue creates a certificate for a process.
func (a *Authority) Issue(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: %w", err)
	}
	template := template(name, now, validity)
	template.DNSNames = []string{ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: %w", err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("keys: %w", err)
	}
	return KeyPair{Certificate: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", raw)}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Config returns TLS settings for servers and clients. The process presents its certificate
// and trusts those signed by the authorities. There may be several authorities while one
// replaces another.
func Config(authorities []byte, p KeyPair) (*tls.Config, error) {
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(authorities) {
		return nil, errors.New("keys: no certificate of an authority")
	}
	certificate, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      trusted,
		ClientCAs:    trusted,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Files holds the paths of a process's certificate files.
type Files struct {
	Authorities string `json:"authorities"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Load reads the files and returns TLS settings.
func (f Files) Load() (*tls.Config, error) {
	authorities, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return Config(authorities, KeyPair{Certificate: certificate, Key: key})
}
