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

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 16

// Credentials configures how operators authenticate: by bearer token, by client
// certificate, or by either of them.
type Credentials struct {
	// TokenFile is a file with the bearer token, at least 16 bytes, on its first
	// line.
	TokenFile string
	// ClientCA is the PEM file of the certificate authority that signs the client
	// certificates of operators. It requires Cert and Key.
	ClientCA string
	// Cert and Key are the PEM files of the listener's own certificate and key.
	// Without them the listener serves plain HTTP.
	Cert string
	Key  string
}

// authenticator decides which requests come from an operator.
type authenticator struct {
	tokenHash [sha256.Size]byte
	hasToken  bool
	tls       *tls.Config // nil for plain HTTP
}

// newAuthenticator reads the credential files. It returns an error if there is
// neither a token nor a client CA.
func newAuthenticator(c Credentials) (*authenticator, error) {
	auth := &authenticator{}
	if c.TokenFile != "" {
		token, err := ReadToken(c.TokenFile)
		if err != nil {
			return nil, err
		}
		auth.tokenHash, auth.hasToken = sha256.Sum256([]byte(token)), true
	}
	if c.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, fmt.Errorf("operator: load certificate and key: %w", err)
		}
		auth.tls = &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	}
	if c.ClientCA != "" {
		if auth.tls == nil {
			return nil, fmt.Errorf("operator: a client CA requires a certificate and key of the listener")
		}
		pem, err := os.ReadFile(c.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("operator: read client CA: %w", err)
		}
		auth.tls.ClientCAs = x509.NewCertPool()
		if !auth.tls.ClientCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("operator: no certificate in client CA file %s", c.ClientCA)
		}
		auth.tls.ClientAuth = tls.VerifyClientCertIfGiven
	}
	if !auth.hasToken && c.ClientCA == "" {
		return nil, fmt.Errorf("operator: neither a token file nor a client CA is configured")
	}
	return auth, nil
}

// ReadToken returns the token on the first line of a file, without surrounding
// white space. It returns an error if the token is shorter than 16 bytes.
func ReadToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("operator: read token: %w", err)
	}
	line, _, _ := strings.Cut(string(data), "\n")
	token := strings.TrimSpace(line)
	if len(token) < minTokenBytes {
		return "", fmt.Errorf("operator: token in %s is shorter than %d bytes", file, minTokenBytes)
	}
	return token, nil
}

// authenticate reports whether r comes from an operator: it has a verified client
// certificate or the bearer token. Tokens are compared by their hashes in constant
// time.
func (a *authenticator) authenticate(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || !a.hasToken {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], a.tokenHash[:]) == 1
}
