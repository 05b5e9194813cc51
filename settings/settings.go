// Package settings reads and checks the settings of one daemon: who it is,
// where it listens, which keys it holds and where the platform is. What the
// whole fleet shares is in the bundle instead.
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

// Settings are the settings of one daemon. They do not change while it runs.
type Settings struct {
	// Host is the daemon's name in the bundle's host list.
	Host string `yaml:"host"`
	// FailureDomain is the failure domain that the host stands in.
	FailureDomain string    `yaml:"failure_domain"`
	Listen        Listen    `yaml:"listen"`
	TLS           TLS       `yaml:"tls"`
	Operators     Operators `yaml:"operators"`
	// InsecurePlaintext lets fellow daemons talk without TLS; it is refused
	// unless every peer address is a loopback address.
	InsecurePlaintext bool     `yaml:"insecure_plaintext"`
	Platform          Platform `yaml:"platform"`
	// BundlePublicKeys are the keys that may sign bundles: each the path of a
	// PEM file or base64 of the 32 bytes.
	BundlePublicKeys []string `yaml:"bundle_public_keys"`
	Limits           Limits   `yaml:"limits"`
	Drain            Drain    `yaml:"drain"`
	Log              Log      `yaml:"log"`

	// BundleKeys are the keys that BundlePublicKeys names; Load fills them.
	BundleKeys []ed25519.PublicKey `yaml:"-"`
}

// Listen holds the three listeners' addresses, each ip:port; port 0 lets the
// kernel choose.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// TLS holds the PEM files for the sessions between daemons (mutual TLS).
type TLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// CA signs the certificates of all daemons.
	CA string `yaml:"ca"`
}

// Operators says how operators prove who they are: a bearer token, a client
// certificate, or either. One of the two must be set.
type Operators struct {
	// TokenFile holds the token on its first line.
	TokenFile string `yaml:"token_file"`
	// ClientCA is the PEM file of the authority that signs operators'
	// certificates; it needs Cert and Key.
	ClientCA string `yaml:"client_ca"`
	Cert     string `yaml:"cert"`
	Key      string `yaml:"key"`
}

// Platform holds where the platform's services are.
type Platform struct {
	// ConfigService is the base URL of the configuration service.
	ConfigService string `yaml:"config_service"`
	// HostList is the base URL of the host list.
	HostList string `yaml:"host_list"`
	// Key is the name of the bundle's value. Default "bundle".
	Key string `yaml:"key"`
}

// Limits bound what one caller can make the daemon hold.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 1 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes bounds a request's headers. Default 16 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// ReadHeaderTimeout bounds the wait for the headers. Default 5s.
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	// ReadTimeout bounds the wait for a whole request. Default 15s.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// IdleTimeout bounds an idle connection. Default 2m.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// Drain governs the way out.
type Drain struct {
	// Bound is the longest time that a leaving daemon waits for its requests
	// in flight. Default 30s.
	Bound time.Duration `yaml:"bound"`
}

// Log governs the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level"`
}

// The defaults of values that settings leave out.
const (
	DefaultBundleKey         = "bundle"
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadTimeout       = 15 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultDrainBound        = 30 * time.Second
	DefaultLogLevel          = "info"
)

// Load reads the file, applies the defaults, checks the settings and reads
// the public keys. File names in the settings are relative to the settings
// file; Load makes them absolute or relative to the working directory.
func Load(path string) (*Settings, error) {
	s, err := Read(path)
	if err != nil {
		return nil, err
	}
	if err := s.Finish(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Read reads the file and applies the defaults without checking, for a caller
// that overrides values by flags before Finish.
func Read(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := defaults()
	if err := decode(raw, s); err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	s.resolve(filepath.Dir(path))
	return s, nil
}

// decode reads raw into s; its error names every fault with path and line.
func decode(raw []byte, s *Settings) error {
	var faults []error
	for _, p := range strictyaml.Decode(raw, s).Problems {
		faults = append(faults, errors.New(p.String()))
	}
	return errors.Join(faults...)
}

// Finish checks the settings and reads the public keys.
func (s *Settings) Finish() error {
	if err := s.Check(); err != nil {
		return err
	}
	return s.readBundleKeys()
}

func defaults() *Settings {
	return &Settings{
		Platform: Platform{Key: DefaultBundleKey},
		Limits: Limits{
			MaxBodyBytes:      DefaultMaxBodyBytes,
			MaxHeaderBytes:    DefaultMaxHeaderBytes,
			ReadHeaderTimeout: DefaultReadHeaderTimeout,
			ReadTimeout:       DefaultReadTimeout,
			IdleTimeout:       DefaultIdleTimeout,
		},
		Drain: Drain{Bound: DefaultDrainBound},
		Log:   Log{Level: DefaultLogLevel},
	}
}

// resolve makes file names relative to dir.
func (s *Settings) resolve(dir string) {
	names := []*string{
		&s.TLS.Cert, &s.TLS.Key, &s.TLS.CA,
		&s.Operators.TokenFile, &s.Operators.ClientCA, &s.Operators.Cert, &s.Operators.Key,
	}
	for i := range s.BundlePublicKeys {
		if !isInlineKey(s.BundlePublicKeys[i]) {
			names = append(names, &s.BundlePublicKeys[i])
		}
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}
