package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"go.uber.org/zap/zapcore"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/httpserver"
)

// The allowed ranges of size limits.
const (
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 64 << 20
	minHeaderBytes  = 1 << 10
	maxHeaderBytes  = 1 << 20
	maxHeaderMemory = 1 << 30
)

// Check returns all problems of the settings as one joined error. It accesses no
// files.
func (s *Settings) Check() error {
	var errs []error
	add := func(err error) {
		if err != nil {
			errs = append(errs, err)
		}
	}
	add(required("host", s.Host))
	add(required("failure_domain", s.FailureDomain))
	errs = append(errs, s.checkListen()...)
	add(s.checkTLS())
	add(s.checkOperators())
	add(checkURL("platform.config_service", s.Platform.ConfigService))
	add(checkURL("platform.host_list", s.Platform.HostList))
	add(required("platform.key", s.Platform.Key))
	if len(s.BundlePublicKeys) == 0 {
		add(errors.New("bundle_public_keys: at least one is required"))
	}
	errs = append(errs, s.checkLimits()...)
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		add(fmt.Errorf("log.level: %w", err))
	}
	return errors.Join(errs...)
}

// CheckBundle returns an error if the daemon cannot run with b: the host is not in
// the host list, it has another failure domain there, or InsecurePlaintext is set
// and a peer address is not a loopback address.
func (s *Settings) CheckBundle(b *bundle.Bundle) error {
	found := false
	for _, h := range b.Hosts {
		if s.InsecurePlaintext && !isLoopback(h.PeerAddress) {
			return fmt.Errorf("insecure_plaintext: peer address %s of host %q is not loopback", h.PeerAddress, h.Name)
		}
		if h.Name != s.Host {
			continue
		}
		found = true
		if h.FailureDomain != s.FailureDomain {
			return fmt.Errorf("failure_domain: %q in the settings, %q in the bundle", s.FailureDomain, h.FailureDomain)
		}
	}
	if !found {
		return fmt.Errorf("host: %q is not in the bundle's host list", s.Host)
	}
	return nil
}

func (s *Settings) checkListen() []error {
	type listener struct{ name, address string }
	listeners := []listener{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	}
	var errs []error
	addressByListener := map[string]netip.AddrPort{}
	for _, l := range listeners {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: must be ip:port: %w", l.name, err))
			continue
		}
		for name, other := range addressByListener {
			if conflicts(address, other) {
				errs = append(errs, fmt.Errorf("%s: %s is already used by %s", l.name, address, name))
			}
		}
		addressByListener[l.name] = address
	}
	return errs
}

// conflicts reports whether two listeners cannot be open at the same time.
func conflicts(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (s *Settings) checkTLS() error {
	anySet := s.TLS != TLS{}
	complete := s.TLS.Cert != "" && s.TLS.Key != "" && s.TLS.CA != ""
	switch {
	case s.InsecurePlaintext && anySet:
		return errors.New("insecure_plaintext: cannot be combined with tls")
	case s.InsecurePlaintext && !isLoopback(s.Listen.Peers):
		return fmt.Errorf("insecure_plaintext: listen.peers %s is not loopback", s.Listen.Peers)
	case !s.InsecurePlaintext && !complete:
		return errors.New("tls: cert, key and ca are required")
	}
	return nil
}

func (s *Settings) checkOperators() error {
	o := s.Operators
	switch {
	case o.TokenFile == "" && o.ClientCA == "":
		return errors.New("operators: token_file or client_ca is required")
	case (o.Cert == "") != (o.Key == ""):
		return errors.New("operators: cert and key must be set together")
	case o.ClientCA != "" && o.Cert == "":
		return errors.New("operators: client_ca requires cert and key")
	case o.Cert == "" && !isLoopback(s.Listen.Operators):
		return errors.New("operators: cert and key are required if listen.operators is not loopback")
	}
	return nil
}

func (s *Settings) checkLimits() []error {
	var errs []error
	checkRange := func(name string, value, low, high int64) {
		if value < low || value > high {
			errs = append(errs, fmt.Errorf("%s: %d is not between %d and %d", name, value, low, high))
		}
	}
	checkRange("limits.max_body_bytes", s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	checkRange("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	checkPositive := func(name string, value int64) {
		if value <= 0 {
			errs = append(errs, fmt.Errorf("%s: must be above 0", name))
		}
	}
	checkPositive("limits.read_header_timeout", int64(s.Limits.ReadHeaderTimeout))
	checkPositive("limits.read_timeout", int64(s.Limits.ReadTimeout))
	checkPositive("limits.idle_timeout", int64(s.Limits.IdleTimeout))
	checkPositive("limits.max_connections", int64(s.Limits.MaxConnections))
	checkRange("limits.max_header_memory", s.Limits.MaxHeaderMemory, httpserver.MinHeadMemory(s.Limits.MaxHeaderBytes), maxHeaderMemory)
	checkPositive("limits.write_timeout", int64(s.Limits.WriteTimeout))
	checkPositive("drain.bound", int64(s.Drain.Bound))
	return errs
}

func (s *Settings) readBundleKeys() error {
	s.BundleKeys = nil
	for _, entry := range s.BundlePublicKeys {
		text := []byte(entry)
		if !isInlineKey(entry) {
			raw, err := os.ReadFile(entry)
			if err != nil {
				return fmt.Errorf("bundle_public_keys: %w", err)
			}
			text = raw
		}
		key, err := bundle.ParsePublicKey(text)
		if err != nil {
			return fmt.Errorf("bundle_public_keys: %w", err)
		}
		s.BundleKeys = append(s.BundleKeys, key)
	}
	return nil
}

// isInlineKey reports whether entry is the base64 encoding of a public key, and not
// a file name.
func isInlineKey(entry string) bool {
	raw, err := base64.StdEncoding.DecodeString(entry)
	return err == nil && len(raw) == ed25519.PublicKeySize
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

func required(name, value string) error {
	if strings.TrimSpace(value) == "" {
		return fmt.Errorf("%s: is required", name)
	}
	return nil
}

func checkURL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("%s: %q is not an http or https URL", name, value)
	}
	return nil
}
