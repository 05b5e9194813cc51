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
)

// The bounds of limits.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
)

// Check returns every fault of the settings, joined; it touches no file.
func (s *Settings) Check() error {
	var faults []error
	add := func(err error) {
		if err != nil {
			faults = append(faults, err)
		}
	}
	add(required("host", s.Host))
	add(required("failure_domain", s.FailureDomain))
	faults = append(faults, s.checkListen()...)
	add(s.checkTLS())
	add(s.checkOperators())
	add(checkURL("platform.config_service", s.Platform.ConfigService))
	add(checkURL("platform.host_list", s.Platform.HostList))
	add(required("platform.key", s.Platform.Key))
	if len(s.BundlePublicKeys) == 0 {
		add(errors.New("bundle_public_keys: at least one is needed"))
	}
	faults = append(faults, s.checkLimits()...)
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		add(fmt.Errorf("log.level: %w", err))
	}
	return errors.Join(faults...)
}

// CheckBundle returns why the daemon cannot run under b: it is not in the host
// list, stands in another failure domain, or would talk in plain text beyond
// loopback.
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
			return fmt.Errorf("failure_domain: settings say %q, the bundle %q", s.FailureDomain, h.FailureDomain)
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
	var faults []error
	seen := map[string]netip.AddrPort{}
	for _, l := range listeners {
		address, err := netip.ParseAddrPort(l.address)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: want ip:port: %w", l.name, err))
			continue
		}
		for name, other := range seen {
			if clash(address, other) {
				faults = append(faults, fmt.Errorf("%s: %s is taken by %s", l.name, address, name))
			}
		}
		seen[l.name] = address
	}
	return faults
}

// clash says that two listeners cannot both be opened.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (s *Settings) checkTLS() error {
	given := s.TLS != TLS{}
	whole := s.TLS.Cert != "" && s.TLS.Key != "" && s.TLS.CA != ""
	switch {
	case s.InsecurePlaintext && given:
		return errors.New("insecure_plaintext: excludes tls")
	case s.InsecurePlaintext && !isLoopback(s.Listen.Peers):
		return fmt.Errorf("insecure_plaintext: listen.peers %s is not loopback", s.Listen.Peers)
	case !s.InsecurePlaintext && !whole:
		return errors.New("tls: cert, key and ca are needed")
	}
	return nil
}

func (s *Settings) checkOperators() error {
	o := s.Operators
	switch {
	case o.TokenFile == "" && o.ClientCA == "":
		return errors.New("operators: token_file or client_ca is needed")
	case (o.Cert == "") != (o.Key == ""):
		return errors.New("operators: cert and key go together")
	case o.ClientCA != "" && o.Cert == "":
		return errors.New("operators: client_ca needs cert and key")
	case o.Cert == "" && !isLoopback(s.Listen.Operators):
		return errors.New("operators: a token beyond loopback needs cert and key")
	}
	return nil
}

func (s *Settings) checkLimits() []error {
	var faults []error
	within := func(name string, value, low, high int64) {
		if value < low || value > high {
			faults = append(faults, fmt.Errorf("%s: %d is not within %d to %d", name, value, low, high))
		}
	}
	within("limits.max_body_bytes", s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	within("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	positive := func(name string, value int64) {
		if value <= 0 {
			faults = append(faults, fmt.Errorf("%s: must be above 0", name))
		}
	}
	positive("limits.read_header_timeout", int64(s.Limits.ReadHeaderTimeout))
	positive("limits.read_timeout", int64(s.Limits.ReadTimeout))
	positive("limits.idle_timeout", int64(s.Limits.IdleTimeout))
	positive("drain.bound", int64(s.Drain.Bound))
	return faults
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

// isInlineKey tells base64 of a public key from a file name.
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
		return fmt.Errorf("%s: is needed", name)
	}
	return nil
}

func checkURL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("%s: %q is no http or https URL", name, value)
	}
	return nil
}
