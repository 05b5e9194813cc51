package peer

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// loadTLS reads the files and returns the configuration for both sides; the
// dialling side sets ServerName for each dial.
func loadTLS(f TLSFiles) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peer: key pair: %w", err)
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, fmt.Errorf("peer: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("peer: authority: no certificate in %s", f.CAFile)
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

// checkOwnName refuses a key pair that is not for host.
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

// checkPeerName refuses a connection whose certificate is not for host.
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
