package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// loadTLS reads the files and returns the TLS configuration for both client and server.
// The client sets ServerName for each dial.
func loadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peer: loading the key pair: %w", err)
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, fmt.Errorf("peer: reading the CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("peer: no certificate in CA file %s", f.CAFile)
	}
	return &tls.Config{
		Certificates:           []tls.Certificate{cert},
		RootCAs:                pool,
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
	}, nil
}

// checkOwnName returns ErrIdentity if the configured certificate is not valid for host.
func checkOwnName(cfg *tls.Config, host string) error {
	leaf, err := x509.ParseCertificate(cfg.Certificates[0].Certificate[0])
	if err != nil {
		return fmt.Errorf("peer: certificate: %w", err)
	}
	if err := leaf.VerifyHostname(host); err != nil {
		return fmt.Errorf("%w: own certificate: %w", ErrIdentity, err)
	}
	return nil
}

// checkPeerName returns ErrIdentity if the peer's certificate is not valid for host.
func checkPeerName(conn *tls.Conn, host string) error {
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return fmt.Errorf("%w: no certificate", ErrIdentity)
	}
	if err := certs[0].VerifyHostname(host); err != nil {
		return fmt.Errorf("%w: %w", ErrIdentity, err)
	}
	return nil
}
