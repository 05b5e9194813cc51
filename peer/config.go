package peer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// The defaults and fixed bounds of a transport.
const (
	DefaultMaxMessage     = 1 << 20
	DefaultMaxInFlight    = 128
	DefaultMaxWaiting     = 1024
	DefaultMaxHandlers    = 1024
	DefaultMaxSessions    = 2048
	DefaultCallTimeout    = 5 * time.Second
	DefaultDialTimeout    = 2 * time.Second
	DefaultSilenceTimeout = time.Second
	DefaultIdleTimeout    = 10 * time.Minute
	DefaultMinBackoff     = 50 * time.Millisecond
	DefaultMaxBackoff     = 5 * time.Second
)

// Resolver returns the ip:port where a host's daemon listens for peers, and
// false for a host that it does not know. It is called for each dial, from any
// goroutine, and must not block.
type Resolver func(host string) (address string, ok bool)

// TLSFiles names the PEM files of a daemon's key pair and of the authority
// that signed its peers' certificates. A certificate must be valid for the
// host's name, as server and as client.
type TLSFiles struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
}

// Config is what a Transport needs. Zero values of the bounds and times stand
// for the defaults above.
type Config struct {
	// Host is the name of this host; peers check it against its certificate.
	Host string
	// Incarnation is the start of this process in Unix milliseconds.
	Incarnation uint64
	// Listen is the ip:port for peers; port 0 leaves the choice to the kernel.
	Listen string
	// TLS is needed unless Plaintext is set.
	TLS TLSFiles
	// Plaintext turns TLS off; only loopback addresses are then allowed, unless
	// PrivateNetwork is set too.
	Plaintext bool
	// PrivateNetwork says that only the system's own processes reach the
	// addresses, so that plaintext may be spoken there: on the users' platform
	// no secret reaches a machine.
	PrivateNetwork bool
	Resolve        Resolver
	Mux            *Mux
	Logger         *zap.Logger
	// Metrics is the set that the transport's counters are registered in.
	Metrics *metrics.Set

	// MaxMessage bounds one serialised envelope in bytes.
	MaxMessageBytes int
	// MaxInFlight bounds one session's calls in flight, each way.
	MaxInFlight int
	// MaxWaiting bounds the calls that wait for a session's free place.
	MaxWaiting int
	// MaxHandlers bounds the calls served at a time, over all sessions.
	MaxHandlers int
	// MaxSessions bounds the sessions that peers have opened here.
	MaxSessions int
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout time.Duration
	// DialTimeout bounds connecting, the TLS handshake and the greeting.
	DialTimeout time.Duration
	// SilenceTimeout is how long nothing may arrive on a session while calls
	// wait for answers before a timed-out call ends the session.
	SilenceTimeout time.Duration
	// IdleTimeout is how long a session without calls is kept.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between dials of a dead peer.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// withDefaults returns c with the defaults filled in.
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
	orInt(&c.MaxMessageBytes, DefaultMaxMessage)
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

// check refuses what a transport can't run with.
func (c Config) check() error {
	if c.Host == "" {
		return fmt.Errorf("peer: no host name")
	}
	if c.Resolve == nil {
		return fmt.Errorf("peer: no resolver")
	}
	return c.checkPlaintext(c.Listen)
}

// checkPlaintext returns ErrPlaintext when address must not be used without TLS
// and there is none.
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
		return fmt.Errorf("%w: %s is not one", ErrPlaintext, address)
	}
	return nil
}
