package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// The default limits and timeouts of a transport.
const (
	DefaultMaxMessageBytes = 1 << 20
	DefaultMaxInFlight     = 128
	DefaultMaxWaiting      = 1024
	DefaultMaxHandlers     = 1024
	DefaultMaxSessions     = 2048
	DefaultCallTimeout     = 5 * time.Second
	DefaultDialTimeout     = 2 * time.Second
	DefaultSilenceTimeout  = time.Second
	DefaultIdleTimeout     = 10 * time.Minute
	DefaultMinBackoff      = 50 * time.Millisecond
	DefaultMaxBackoff      = 5 * time.Second
)

// Resolver returns the ip:port where a host's daemon listens for peers, or false for an
// unknown host. It is called for each dial, from any goroutine, and must not block.
type Resolver func(host string) (address string, ok bool)

// TLSFiles names the PEM files of a daemon's key pair and of the certificate authority
// that signed its peers' certificates. A certificate must be valid for the host's name,
// both as server and as client.
type TLSFiles struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// Config holds the settings and dependencies of a Transport. A zero limit or timeout
// selects the default above.
type Config struct {
	// Host is the name of this host. Peers check it against its certificate.
	Host string
	// Incarnation is the start time of this process in Unix milliseconds.
	Incarnation uint64
	// Listen is the ip:port to listen on for peers. With port 0 the kernel chooses the
	// port.
	Listen string
	// TLS is required unless Plaintext is set.
	TLS TLSFiles
	// Plaintext turns TLS off. Then only loopback addresses are allowed, unless
	// PrivateNetwork is set too.
	Plaintext bool
	// PrivateNetwork declares that only this system's own processes can reach the
	// addresses, so that plaintext is allowed on them. The users' platform needs this,
	// since it provides no secrets to the machines.
	PrivateNetwork bool
	Resolve        Resolver
	Mux            *Mux
	Logger         *zap.Logger
	// Metrics is the set in which the transport registers its metrics.
	Metrics *metrics.Set

	// MaxMessageBytes is the maximum size of an encoded envelope in bytes.
	MaxMessageBytes int
	// MaxInFlight bounds the calls in flight on one session, in each direction.
	MaxInFlight int
	// MaxWaiting bounds the calls that wait until one session has fewer than
	// MaxInFlight calls in flight.
	MaxWaiting int
	// MaxHandlers bounds the calls that are served concurrently, over all sessions.
	MaxHandlers int
	// MaxSessions bounds the sessions that peers have opened to this host.
	MaxSessions int
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout time.Duration
	// DialTimeout bounds connecting, the TLS handshake and the peer handshake together.
	DialTimeout time.Duration
	// StartupDialTimeout bounds connecting alone, without the handshakes, for
	// StartupPeriod after the transport was created, in which failed dials cause no
	// backoff. When many hosts start together, a connection attempt to a host that is not
	// up yet is not answered, and only a new one reaches it. 0 means DialTimeout.
	StartupDialTimeout time.Duration
	StartupPeriod      time.Duration
	// SilenceTimeout is how long no data may arrive on a session with calls waiting for
	// answers before a call that times out makes the session suspect. A suspect session
	// is closed unless the peer answers a ping within the same time.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a session without calls is kept open.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between dials of an unreachable peer.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// withDefaults returns c with defaults for the settings that are zero.
func (c Config) withDefaults() Config {
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orTime := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	orInt(&c.MaxInFlight, DefaultMaxInFlight)
	orInt(&c.MaxWaiting, DefaultMaxWaiting)
	orInt(&c.MaxHandlers, DefaultMaxHandlers)
	orInt(&c.MaxSessions, DefaultMaxSessions)
	orTime(&c.CallTimeout, DefaultCallTimeout)
	orTime(&c.DialTimeout, DefaultDialTimeout)
	orTime(&c.SilenceTimeout, DefaultSilenceTimeout)
	orTime(&c.IdleTimeout, DefaultIdleTimeout)
	orTime(&c.MinBackoff, DefaultMinBackoff)
	orTime(&c.MaxBackoff, DefaultMaxBackoff)
	if c.Mux == nil {
		c.Mux = NewMux()
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

// check returns an error if c is not a valid configuration.
func (c Config) check() error {
	if c.Host == "" {
		return fmt.Errorf("peer: Host is not set")
	}
	if c.Resolve == nil {
		return fmt.Errorf("peer: Resolve is not set")
	}
	return c.checkPlaintext(c.Listen)
}

// checkPlaintext returns ErrPlaintext if TLS is off and address must not be used
// without it.
func (c Config) checkPlaintext(address string) error {
	if !c.Plaintext || c.PrivateNetwork {
		return nil
	}
	return checkLoopback(address)
}

// checkLoopback returns ErrPlaintext unless address is a loopback ip:port.
func checkLoopback(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%w: address %q: %w", ErrPlaintext, address, err)
	}
	if !ap.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%w: %s is not a loopback address", ErrPlaintext, address)
	}
	return nil
}
