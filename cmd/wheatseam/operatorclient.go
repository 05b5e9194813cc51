package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/operator"
)

// maxOperatorResponseBytes is the maximum size of a response of the operators'
// listener. Longer responses are truncated.
const maxOperatorResponseBytes = 128 << 20

// operatorClient is a client of a host's operators' listener.
type operatorClient struct {
	address   string
	tokenFile string
	caFile    string
	certFile  string
	keyFile   string
	timeout   time.Duration
}

// addFlags adds the flags for the host's address and the credentials to cmd.
func (c *operatorClient) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.address, "address", "127.0.0.1:7601", "ip:port of an entry host's operators' listener")
	f.StringVar(&c.tokenFile, "token-file", "", "file with the operator token")
	f.StringVar(&c.caFile, "ca", "", "PEM file of the authority of the listener's certificate; enables TLS")
	f.StringVar(&c.certFile, "cert", "", "PEM file of a client certificate")
	f.StringVar(&c.keyFile, "key", "", "PEM file of the private key of the client certificate")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "maximum time to wait for the response")
}

// operatorError is a response with a status other than 2xx.
type operatorError struct {
	status  int
	message string
}

// Error implements error.
func (e *operatorError) Error() string {
	return fmt.Sprintf("the host responded with %d %s: %s", e.status, http.StatusText(e.status), e.message)
}

// do sends a request and returns the status and the body.
func (c *operatorClient) do(ctx context.Context, method, path string) (int, []byte, error) {
	client, scheme, err := c.client()
	if err != nil {
		return 0, nil, err
	}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.address+path, nil)
	if err != nil {
		return 0, nil, err
	}
	if c.tokenFile != "" {
		token, err := operator.ReadToken(c.tokenFile)
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOperatorResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read the response: %w", err)
	}
	return resp.StatusCode, body, nil
}

// fetch sends a request and decodes the response into v. It returns an *operatorError
// for a status other than 2xx.
func (c *operatorClient) fetch(ctx context.Context, method, path string, v any) error {
	status, body, err := c.do(ctx, method, path)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return newOperatorError(status, body)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	return nil
}

func newOperatorError(status int, body []byte) error {
	var e operator.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Error == "" {
		e.Error = strings.TrimSpace(string(body))
	}
	return &operatorError{status, e.Error}
}

// client returns an HTTP client and the URL scheme.
func (c *operatorClient) client() (*http.Client, string, error) {
	transport := &http.Transport{}
	if c.caFile == "" {
		return &http.Client{Transport: httpbody.NewCheckedTransport(transport), Timeout: c.timeout}, "http", nil
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, "", err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", fmt.Errorf("no certificate in %s", c.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if c.certFile != "" {
		pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
		if err != nil {
			return nil, "", err
		}
		transport.TLSClientConfig.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: httpbody.NewCheckedTransport(transport), Timeout: c.timeout}, "https", nil
}
