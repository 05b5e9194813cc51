// Package settings loads and validates the settings of one daemon: its identity,
// listen addresses, keys and the addresses of the platform's services. Configuration
// shared by all hosts is in the bundle.
package settings

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// Settings are the settings of one daemon. They do not change while it is running.
type Settings struct {
	// Host is the daemon's name in the bundle's host list.
	Host string `yaml:"host"`
	// FailureDomain is the failure domain of the host.
	FailureDomain string    `yaml:"failure_domain"`
	Listen        Listen    `yaml:"listen"`
	TLS           TLS       `yaml:"tls"`
	Operators     Operators `yaml:"operators"`
	// InsecurePlaintext disables TLS between daemons. It is rejected unless
	// every peer address is a loopback address.
	InsecurePlaintext bool     `yaml:"insecure_plaintext"`
	Platform          Platform `yaml:"platform"`
	// BundlePublicKeys are the public keys trusted to sign bundles. Each is the
	// path of a PEM file or the base64 encoding of the 32 bytes of the key.
	BundlePublicKeys []string `yaml:"bundle_public_keys"`
	Limits           Limits   `yaml:"limits"`
	Drain            Drain    `yaml:"drain"`
	Log              Log      `yaml:"log"`

	// BundleKeys are the parsed BundlePublicKeys. CheckAndLoadKeys sets them.
	BundleKeys []ed25519.PublicKey `yaml:"-"`
}

// Listen holds the addresses of the three listeners, each ip:port. With port 0 the
// kernel selects a free port.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// TLS holds the PEM files for mutual TLS between daemons.
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// CA is the certificate of the authority that signs the certificates of
	// all daemons.
	CA string `yaml:"ca"`
}

// Operators configures how operators authenticate: by bearer token, by client
// certificate, or by either. At least one of TokenFile and ClientCA must be set.
type Operators struct {
	// TokenFile is the file with the token on its first line.
	TokenFile string `yaml:"token_file"`
	// ClientCA is the PEM file of the authority that signs operators'
	// certificates. It requires Cert and Key, the listener's key pair.
	ClientCA string `yaml:"client_ca"`
	Cert     string `yaml:"cert"`
	Key      string `yaml:"key"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// ConfigService is the base URL of the configuration service.
	ConfigService string `yaml:"config_service"`
	// HostList is the base URL of the host list service.
	HostList string `yaml:"host_list"`
	// Key is the configuration key that holds the bundle. Default "bundle".
	Key string `yaml:"key"`
}

// Limits bounds the resources that one caller can occupy in the daemon.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body. Default 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request's headers. Default 16 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// ReadHeaderTimeout is the maximum time to read the headers. Default 5s.
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	// ReadTimeout is the maximum time to read an entire request. Default 15s.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// IdleTimeout is the maximum time that a connection may be idle. Default 2m.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// MaxConnections is the maximum number of connections of callers. Default 500.
	MaxConnections int `yaml:"max_connections"`
	// MaxHeaderMemory is the memory in bytes that the headers of all requests may
	// take. Default 16 MiB.
	MaxHeaderMemory int64 `yaml:"max_header_memory"`
	// WriteTimeout is the maximum time that a write to a caller that does not read
	// its response may wait. Default 30s.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// Drain configures a graceful shutdown.
type Drain struct {
	// Bound is the maximum time that a draining daemon waits for its requests
	// in flight. Default 30s.
	Bound time.Duration `yaml:"bound"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level"`
}

// The defaults of values that a settings file omits.
const (
	DefaultBundleKey         = "bundle"
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadTimeout       = 15 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultMaxConnections    = 500
	DefaultMaxHeaderMemory   = 16 << 20
	DefaultWriteTimeout      = 30 * time.Second
	DefaultDrainBound        = 30 * time.Second
	DefaultLogLevel          = "info"
)

// Load reads the file, applies the defaults, checks the settings and loads the
// public keys. Relative file names in the settings are relative to the directory of
// the settings file; Load joins them with that directory.
func Load(path string) (*Settings, error) {
	s, err := Read(path)
	if err != nil {
		return nil, err
	}
	if err := s.CheckAndLoadKeys(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Read reads the file and applies the defaults but does not check the settings. It
// is for callers that override values by flags before they call CheckAndLoadKeys.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := newWithDefaults()
	if err := decode(raw, s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

// decode decodes raw into s. Its error lists every problem with its path and line.
func decode(raw []byte, s *Settings) error {
	var errs []error
	for _, p := range strictyaml.Decode(raw, s).Problems {
		errs = append(errs, errors.New(p.String()))
	}
	return errors.Join(errs...)
}

// CheckAndLoadKeys checks the settings and loads the public keys into BundleKeys.
func (s *Settings) CheckAndLoadKeys() error {
	if err := s.Check(); err != nil {
		return err
	}
	return s.readBundleKeys()
}

func newWithDefaults() *Settings {
	return &Settings{
		Platform: Platform{Key: DefaultBundleKey},
		Limits: Limits{
			MaxBodyBytes:      DefaultMaxBodyBytes,
			MaxHeaderBytes:    DefaultMaxHeaderBytes,
			ReadHeaderTimeout: DefaultReadHeaderTimeout,
			ReadTimeout:       DefaultReadTimeout,
			IdleTimeout:       DefaultIdleTimeout,
			MaxConnections:    DefaultMaxConnections,
			MaxHeaderMemory:   DefaultMaxHeaderMemory,
			WriteTimeout:      DefaultWriteTimeout,
		},
		Drain: Drain{Bound: DefaultDrainBound},
		Log:   Log{Level: DefaultLogLevel},
	}
}

// resolvePaths joins relative file names with dir.
func (s *Settings) resolvePaths(dir string) {
	paths := []*string{
		&s.TLS.Cert, &s.TLS.Key, &s.TLS.CA,
		&s.Operators.TokenFile, &s.Operators.ClientCA, &s.Operators.Cert, &s.Operators.Key,
	}
	for i := range s.BundlePublicKeys {
		if !isInlineKey(s.BundlePublicKeys[i]) {
			paths = append(paths, &s.BundlePublicKeys[i])
		}
	}
	for _, name := range paths {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
