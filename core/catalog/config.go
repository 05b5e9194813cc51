package catalog

import (
	"net"
	"strings"
	"time"
)

// Repeat says how often a request of a route may be executed.
type Repeat uint8

// The kinds of repetition.
const (
	// AtMostOnce requests are executed at most once for each request id.
	AtMostOnce Repeat = iota
	// Idempotent requests may be executed again after any failure.
	Idempotent
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Services map[string]*Service
	// Tenants maps an API key to the customer that holds it. It is nil when the
	// configuration has no customers, and requests then need no key.
	Tenants map[string]*Tenant
	Limits  Limits
	// hosts maps a host name in lower case to its routes, longest prefix first.
	hosts map[string][]*Route
}

// Tenant is a customer as the operator configures it.
type Tenant struct {
	Name string
	// Priority goes before the route's; nil says nothing. 0 is the highest.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes bounds a request's body; 0 leaves it to the gateway.
	MaxBodyBytes int64
}

// Route says what becomes of the requests under a prefix of a host's paths.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Streaming answers are event streams.
	Streaming bool
	Repeat    Repeat
	// Resumable streams may go on at another replica after the last event.
	Resumable bool
	// Objective is the time to the answer, or a stream's first event, that the
	// operator aims for.
	Objective time.Duration
	Timeout   time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Attempts bounds the replicas that one request may be sent to.
	Attempts int
	// Public routes need no API key.
	Public bool
	Split  []Target
	Stages []Stage
}

// Target is one service of a route's split.
type Target struct {
	Service string
	Weight  float64
}

// Stage is preparatory work that a route's requests need.
type Stage struct {
	Service string
	// After lists the stages, by index, whose results this one reads.
	After []int
	// ResultBytes is the usual size of one piece's result.
	ResultBytes int64
}

// Service is a pool of replicas.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one replica.
	MaxConnections int
	// Warmup is for how long a replica is cold, and ColdRate the requests a second that
	// it bears meanwhile; 0 for any number.
	Warmup   time.Duration
	ColdRate float64
	// Engine says that the service runs generations in batches.
	Engine bool
	// Pieces is set for services that run stages.
	Pieces *Pieces
}

// Pieces holds the figures of one replica of a service that runs stages.
type Pieces struct {
	// Concurrency is the number of calls in progress at the same time.
	Concurrency int
	// Batch is the largest number of pieces of a call.
	Batch int
	// CallTime is what a call takes, and PieceTime what each piece adds.
	CallTime, PieceTime time.Duration
	// RoomBytes bounds the results that a replica holds.
	RoomBytes int64
	// ResultLife is how long a result that is not given up is kept.
	ResultLife time.Duration
}

// NewConfig returns a configuration with its routes indexed.
func NewConfig(version uint64, routes []*Route, services []*Service, tenants map[string]*Tenant, limits Limits) *Config {
	c := &Config{
		Version: version, Tenants: tenants, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = insertByPrefix(c.hosts[host], r)
	}
	return c
}

// insert keeps the routes of a host sorted, longest prefix first.
func insertByPrefix(routes []*Route, r *Route) []*Route {
	i := 0
	for i < len(routes) && len(routes[i].Prefix) >= len(r.Prefix) {
		i++
	}
	routes = append(routes, nil)
	copy(routes[i+1:], routes[i:])
	routes[i] = r
	return routes
}

// Match returns the route with the longest prefix of path on host, or nil. The
// host may carry a port.
func (c *Config) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Target picks the service of a request; draw is uniform in [0, 1).
func (r *Route) Target(draw float64) string {
	var sum float64
	for _, t := range r.Split {
		sum += t.Weight
	}
	remaining := draw * sum
	for _, t := range r.Split {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// MayRepeat says whether a request may be executed again after an attempt
// whose outcome is unknown.
func (r *Route) MayRepeat() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.Repeat == Idempotent
}
