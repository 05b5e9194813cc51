package catalog

import (
	"iter"
	"net"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy is the policy on repeated execution of a route's requests.
type RepeatPolicy uint8

// The repeat policies.
const (
	// AtMostOnce requests are executed at most once per request ID.
	AtMostOnce RepeatPolicy = iota
	// Idempotent requests may be executed again after any failure.
	Idempotent
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Services map[string]*Service
	// Customers maps an API key to the customer that holds it. It is nil if the
	// configuration has no customers; requests then need no key.
	Customers map[string]*CustomerConfig
	Limits    Limits
	// hosts maps a lower-case host name to its routes, longest prefix first.
	hosts map[string][]*Route
}

// CustomerConfig is a customer in the operator's configuration.
type CustomerConfig struct {
	Name string
	// Priority takes precedence over the route's priority; nil if the customer has none. 0
	// is the highest.
	Priority *int
}

// Limits are what callers may rely on: requests and connections within them are served. A limit of
// 0 is left to the gateway.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of a request's head.
	MaxHeaderBytes int
	// HeaderTimeout is the longest time to send a head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection may be closed.
	IdleTimeout time.Duration
}

// Route configures the requests under a path prefix of a host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Streaming says that responses are event streams.
	Streaming    bool
	RepeatPolicy RepeatPolicy
	// Resumable streams may be continued at another replica, after the last event that the
	// caller was sent.
	Resumable bool
	// Objective is the operator's target for the time to the response, or to the first
	// event of a stream.
	Objective time.Duration
	Timeout   time.Duration
	// GapObjective is the operator's target for the longest pause between two events of a
	// stream; 0 if there is none.
	GapObjective time.Duration
	// Priority of the route; 0 is the highest.
	Priority int
	// Attempts is the maximum number of replicas that one request may be sent to.
	Attempts int
	// Public routes need no API key.
	Public bool
	Split  []Target
	Stages []Stage
}

// Target is one service of a route's traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Stage is a preparatory step that a route's requests need.
type Stage struct {
	Service string
	// After lists the stages, by index, whose results this stage reads.
	After []int
	// ResultBytes is the typical size of the result of one piece.
	ResultBytes int64
}

// Service is a pool of replicas.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections of all callers to one replica.
	MaxConnections int
	// Warmup is the time for which a replica is cold, and ColdRate the number of requests
	// per second that it can serve meanwhile; 0 means no limit.
	Warmup   time.Duration
	ColdRate float64
	// Engine says that the service runs generations in batches.
	Engine bool
	// Moves says that its replicas can stop a run and copy its memory to another replica.
	Moves bool
	// StageProfile is set for services that run stages; nil for others.
	StageProfile *StageProfile
}

// StageProfile describes the capacity and timing of one replica of a service that runs
// stages.
type StageProfile struct {
	// Concurrency is the maximum number of concurrent calls.
	Concurrency int
	// Batch is the maximum number of pieces per call.
	Batch int
	// CallTime is the fixed duration of a call, and PieceTime the additional duration per
	// piece.
	CallTime, PieceTime time.Duration
	// ResultCapacityBytes is the maximum total size of the results that a replica holds.
	ResultCapacityBytes int64
	// ResultTTL is how long a result is kept unless it is released earlier.
	ResultTTL time.Duration
}

// NewConfig returns a configuration whose routes are indexed by host and prefix.
func NewConfig(version uint64, routes []*Route, services []*Service, customers map[string]*CustomerConfig, limits Limits) *Config {
	c := &Config{
		Version: version, Customers: customers, Limits: limits,
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

// insertByPrefix inserts r into the routes of a host, which are sorted by descending prefix
// length.
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

// Match returns the route of host with the longest prefix of path, or nil. The host may
// include a port.
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

// Routes iterates over all routes, in no order.
func (c *Config) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range c.hosts {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// PickService selects the service of a request by weight; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
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

// Services returns the services that the route leads to, without repeats.
func (r *Route) Services() []string {
	var out []string
	for _, t := range r.Split {
		if !slices.Contains(out, t.Service) {
			out = append(out, t.Service)
		}
	}
	return out
}

// MayRepeat reports whether a request may be executed again after an attempt with an
// unknown outcome.
func (r *Route) MayRepeat() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.RepeatPolicy == Idempotent
}
