package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
)

// minToken is the least length of a token in bytes.
const minToken = 16

// Credentials says how operators prove who they are: by token, by client
// certificate, or by either.
type Credentials struct {
	// TokenFile holds the bearer token on its first line; at least 16 bytes.
	TokenFile string
	// ClientCA is the PEM file of the authority of operators' certificates.
	ClientCA string
	// Cert and Key are the listener's own PEM files; without them it speaks
	// plain HTTP.
	Cert string
	Key  string
}

// guard decides which requests are an operator's.
type guard struct {
	token    [sha256.Size]byte
	hasToken bool
	tls      *tls.Config // nil for plain HTTP
}

// newGuard reads the files. Without token and authority it refuses.
func newGuard(c Credentials) (*guard, error) {
	g := &guard{}
	if c.TokenFile != "" {
		token, err := ReadToken(c.TokenFile)
		if err != nil {
			return nil, err
		}
		g.token, g.hasToken = sha256.Sum256([]byte(token)), true
	}
	if c.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, fmt.Errorf("operator: key pair: %w", err)
		}
		g.tls = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	}
	if c.ClientCA != "" {
		if g.tls == nil {
			return nil, fmt.Errorf("operator: client certificates need cert and key")
		}
		pem, err := os.ReadFile(c.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("operator: authority: %w", err)
		}
		g.tls.ClientCAs = x509.NewCertPool()
		if !g.tls.ClientCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("operator: authority: no certificate in %s", c.ClientCA)
		}
		g.tls.ClientAuth = tls.VerifyClientCertIfGiven
	}
	if !g.hasToken && c.ClientCA == "" {
		return nil, fmt.Errorf("operator: neither a token nor an authority of client certificates")
	}
	return g, nil
}

// ReadToken returns the first line of a token file.
func ReadToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("operator: token: %w", err)
	}
	line, _, _ := strings.Cut(string(data), "\n")
	token := strings.TrimSpace(line)
	if len(token) < minToken {
		return "", fmt.Errorf("operator: token in %s is shorter than %d bytes", file, minToken)
	}
	return token, nil
}

// allows says whether r is an operator's: it has a verified client certificate
// or bears the token. Tokens are compared in constant time by their hashes.
func (g *guard) allows(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !g.hasToken {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}
