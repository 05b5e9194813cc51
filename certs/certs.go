// Package certs creates the keys for mutual TLS between daemons: a certificate
// authority and one key pair per host. Each certificate is valid for the host's name
// as a server and as a client. The package is meant for demos, tests and small
// installations. An installation with its own certificate authority does not need
// it.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// The names of the files of the certificate authority in a directory of keys.
const (
	AuthorityCertFile = "ca.pem"
	AuthorityKeyFile  = "ca-key.pem"
)

const (
	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
	// clockSkewAllowance is how long before its creation a certificate is already
	// valid, so that hosts whose clocks are behind accept it.
	clockSkewAllowance = time.Hour
)

// KeyPair is a certificate and its private key, both in PEM encoding.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// Authority is a certificate authority that signs the certificates of hosts and
// operators. It is safe for concurrent use.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair KeyPair
}

// NewAuthority creates a certificate authority whose certificate is valid until
// now plus lifetime.
func NewAuthority(now time.Time, lifetime time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certs: key: %w", err)
	}
	template, err := newTemplate("wheatseam authority", now, lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("certs: authority: %w", err)
	}
	return newAuthority(der, key)
}

func newAuthority(der []byte, key *ecdsa.PrivateKey) (*Authority, error) {
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certs: authority: %w", err)
	}
	pair, err := encodePair(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pair: pair}, nil
}

// KeyPair returns the certificate and key of the authority itself.
func (a *Authority) KeyPair() KeyPair { return a.pair }

// Issue creates a key pair for a host or an operator's client. The certificate is
// valid for the name and the given IP addresses until now plus lifetime.
func (a *Authority) Issue(name string, now time.Time, lifetime time.Duration, ips ...net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("certs: key: %w", err)
	}
	template, err := newTemplate(name, now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{name}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("certs: sign certificate for %s: %w", name, err)
	}
	return encodePair(der, key)
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("certs: generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("certs: key: %w", err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}

// KeyPairFiles returns the paths of the certificate and the key of a host in dir.
func KeyPairFiles(dir, name string) (cert, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")
}

// Write writes the pair to two files. A new key file is readable by its owner only.
func (p KeyPair) Write(certFile, keyFile string) error {
	if err := os.WriteFile(certFile, p.Cert, 0o644); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := os.WriteFile(keyFile, p.Key, 0o600); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return nil
}

// OpenAuthority reads the certificate authority in dir, or creates one there if dir
// has none. lifetime applies to a new one only.
func OpenAuthority(dir string, now time.Time, lifetime time.Duration) (*Authority, error) {
	certFile, keyFile := filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, AuthorityKeyFile)
	a, err := readAuthority(certFile, keyFile)
	if !errors.Is(err, os.ErrNotExist) {
		return a, err
	}
	if a, err = NewAuthority(now, lifetime); err != nil {
		return nil, err
	}
	return a, a.pair.Write(certFile, keyFile)
}

func readAuthority(certFile, keyFile string) (*Authority, error) {
	cert, err := readPEMBlock(certFile, pemTypeCertificate)
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEMBlock(keyFile, pemTypeKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", keyFile, err)
	}
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("certs: %s: key type is %T, not ECDSA", keyFile, key)
	}
	return newAuthority(cert, ecKey)
}

func readPEMBlock(file, blockType string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != blockType {
		return nil, fmt.Errorf("certs: %s: no PEM block %q", file, blockType)
	}
	return block.Bytes, nil
}
