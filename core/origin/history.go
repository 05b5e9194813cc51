package origin

import (
	"slices"
	"time"
)

const (
	// MaxHistory is how long a version is remembered that is no longer listed.
	MaxHistory = MaxLifetime
	// MaxVersions limits the versions that are remembered for one service. Further ones are
	// not told apart from them: the service has several either way.
	MaxVersions = 16
)

// Change is a replica that was added to or removed from a view.
type Change struct {
	Service, Version string
	Removed          bool
}

// History holds which versions the replicas of each service have had. The zero value is ready
// to use. The cost of a view grows with the replicas that changed.
type History struct {
	// since is when the first view was observed.
	since    time.Time
	services map[string]map[string]*listing
}

// listing is how many replicas of a version are listed, and when the last one was.
type listing struct {
	replicas   int
	lastListed time.Time
}

// Observe records the changes of a view, and returns the services that have got a second
// version by them.
func (h *History) Observe(now time.Time, changes []Change) (grown []string) {
	if h.since.IsZero() {
		h.since, h.services = now, map[string]map[string]*listing{}
	}
	for _, c := range changes {
		versions := h.services[c.Service]
		if versions == nil {
			versions = map[string]*listing{}
			h.services[c.Service] = versions
		}
		expire(now, versions)
		l := versions[c.Version]
		switch {
		case c.Removed && l != nil && l.replicas > 0:
			l.replicas--
			l.lastListed = now
		case c.Removed, l == nil && len(versions) >= MaxVersions:
		case l == nil:
			versions[c.Version] = &listing{replicas: 1}
			if len(versions) == 2 {
				grown = append(grown, c.Service)
			}
		default:
			l.replicas++
		}
	}
	return grown
}

// expire drops versions that have not been listed for MaxHistory.
func expire(now time.Time, versions map[string]*listing) {
	for version, l := range versions {
		if l.replicas == 0 && now.Sub(l.lastListed) > MaxHistory {
			delete(versions, version)
		}
	}
}

// Versions returns the versions that a service has had within the last period, sorted.
func (h *History) Versions(now time.Time, service string, period time.Duration) []string {
	var out []string
	for version, l := range h.services[service] {
		if l.replicas > 0 || now.Sub(l.lastListed) <= period {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Length returns for how long views have been observed.
func (h *History) Length(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}

// Services returns the services that have or had replicas, sorted.
func (h *History) Services() []string {
	var out []string
	for service := range h.services {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}
