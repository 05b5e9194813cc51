package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/origin"
)

// maxRemovedRoutes limits the removed routes that are remembered.
const maxRemovedRoutes = 8192

// routedServices holds since when the routes that lead to each service have led there. A stream
// that is taken up on a route that was led to another service before may have begun there, so that
// the versions of the service say nothing of it.
type routedServices struct {
	mu sync.Mutex
	// since is when a route was last led to a service that had led to another one. The first
	// configuration is known since known.
	since map[string]time.Time
	known time.Time
	// removed are the routes that were removed, or whose streams can no longer be taken up, within
	// origin.MaxHistory, by host: they may be back with another service.
	removed map[string][]removedRoute
}

// removedRoute is a route that was removed.
type removedRoute struct {
	*catalog.Route
	at time.Time
}

// configChanged records a configuration and the one before; old is nil for the first one. It returns
// the services between which routes were moved.
func (s *routedServices) configChanged(now time.Time, old, next *catalog.Config) (services []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old == nil {
		s.known, s.since = now, map[string]time.Time{}
		return nil
	}
	maps.DeleteFunc(s.since, func(_ string, since time.Time) bool { return now.Sub(since) > origin.MaxHistory })
	s.forgetRemoved(func(r removedRoute) bool { return now.Sub(r.at) > origin.MaxHistory })
	for r := range next.Routes() {
		services = append(services, s.moved(now, old.Match(r.Host, r.Prefix), r)...)
		for _, before := range s.removed[strings.ToLower(r.Host)] {
			if r.Resumable && before.overlaps(r) {
				services = append(services, s.moved(now, before.Route, r)...)
			}
		}
	}
	s.forgetRemoved(func(before removedRoute) bool {
		r := next.Match(before.Host, before.Prefix)
		return r != nil && r.Resumable // it is back
	})
	for r := range old.Routes() {
		after := next.Match(r.Host, r.Prefix)
		services = append(services, s.moved(now, r, after)...)
		if r.Resumable && (after == nil || !after.Resumable) {
			s.rememberRemoved(removedRoute{r, now})
		}
	}
	s.limitRemoved(now)
	slices.Sort(services)
	return slices.Compact(services)
}

// rememberRemoved and forgetRemoved add a removed route, and drop those that match; mu must be held.
func (s *routedServices) rememberRemoved(r removedRoute) {
	if s.removed == nil {
		s.removed = map[string][]removedRoute{}
	}
	host := strings.ToLower(r.Host)
	s.removed[host] = append(s.removed[host], r)
}

func (s *routedServices) forgetRemoved(match func(removedRoute) bool) {
	for host, routes := range s.removed {
		if routes = slices.DeleteFunc(routes, match); len(routes) == 0 {
			delete(s.removed, host)
		} else {
			s.removed[host] = routes
		}
	}
}

// limitRemoved forgets all removed routes beyond maxRemovedRoutes. Any of them may be back with another
// service then: what is known begins anew. mu must be held.
func (s *routedServices) limitRemoved(now time.Time) {
	count := 0
	for _, routes := range s.removed {
		count += len(routes)
	}
	if count > maxRemovedRoutes {
		s.removed, s.since, s.known = nil, map[string]time.Time{}, now
	}
}

// overlaps reports whether some requests for the host of both routes match both.
func (r removedRoute) overlaps(o *catalog.Route) bool {
	return strings.HasPrefix(r.Prefix, o.Prefix) || strings.HasPrefix(o.Prefix, r.Prefix)
}

// moved records that requests which matched one route match another one, and returns the services of
// both if they differ; nil stands for none. mu must be held.
func (s *routedServices) moved(now time.Time, before, after *catalog.Route) (services []string) {
	if before == nil || after == nil || !before.Resumable || slices.Equal(before.Services(), after.Services()) {
		return nil // no stream that began there can be taken up
	}
	for _, service := range after.Services() {
		if slices.ContainsFunc(before.Services(), func(other string) bool { return other != service }) {
			s.since[service] = now
		}
	}
	return slices.Concat(before.Services(), after.Services())
}

// steadyFor returns for how long no route has been led to a service from another one, as far as
// this host knows.
func (s *routedServices) steadyFor(now time.Time, service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, moved := s.since[service]
	if !moved {
		since = s.known
	}
	if since.IsZero() {
		return 0
	}
	return max(0, now.Sub(since))
}

// movedAgo returns how long ago a route was last led to a service from another one; 0 if this host
// knows of none.
func (s *routedServices) movedAgo(now time.Time, service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, moved := s.since[service]
	if !moved {
		return 0
	}
	return max(1, now.Sub(since))
}
