package origin

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxHistory is how long a version is remembered that is no longer listed.
	MaxHistory = MaxLifetime
	// MaxVersions limits the versions that are remembered for one service and no longer
	// listed. Beyond it, the one that has been gone for longest is forgotten, and the history
	// is complete from then on only.
	MaxVersions = 16
)

// Change is a replica that was added to or removed from a view.
type Change struct {
	Service, Version string
	Removed          bool
}

// History holds which versions the replicas of each service have had, and since when this
// knowledge is complete: every version with which a replica was listed between Since and Until
// is in it. Versions from before are remembered, too, but others may be missing. The zero value
// is ready to use and complete for no time. The cost of a view grows with the replicas that
// changed.
type History struct {
	// since and until are zero if the history is not complete for any time.
	since, until time.Time
	services     map[string]map[string]*versionState
	prunedAt     time.Time
}

// versionState is what is known of one version of a service.
type versionState struct {
	// replicas is the number of replicas that are listed.
	replicas int
	// lastListed is when the last replica was last listed; it is not kept up while replicas
	// is not 0. lastRemoved is when a replica was last removed; zero if none is known.
	lastListed, lastRemoved time.Time
}

// remembered reports whether a version that is not listed is remembered.
func (v *versionState) remembered() bool { return v.replicas == 0 }

// Observe records the changes of a view that continues the previous one: nothing was listed
// in between that is not among the changes. The history begins with the first view. It returns
// the services that have got a further version by the changes.
func (h *History) Observe(now time.Time, changes []Change) (grown []string) {
	if h.since.IsZero() {
		h.Restart(now, now)
	}
	h.Continue(now)
	return h.Record(now, changes)
}

// Record records changes that were received now, and says nothing about completeness. Replicas
// that came and went between two views are added and removed. It returns the services that have
// got a further version by the changes.
func (h *History) Record(now time.Time, changes []Change) (grown []string) {
	h.prune(now)
	for _, c := range changes {
		versions := h.service(c.Service)
		v := versions[c.Version]
		switch {
		case c.Removed && v == nil:
			versions[c.Version] = &versionState{lastListed: now, lastRemoved: now}
		case c.Removed:
			v.replicas = max(0, v.replicas-1)
			v.lastListed, v.lastRemoved = now, now
		case v == nil:
			versions[c.Version] = &versionState{replicas: 1}
		default:
			v.replicas++
		}
		if v == nil && len(versions) > 1 && !slices.Contains(grown, c.Service) {
			grown = append(grown, c.Service)
		}
	}
	for _, c := range changes {
		h.limit(c.Service)
	}
	return grown
}

// Continue records that nothing was listed up to asOf that is not known.
func (h *History) Continue(asOf time.Time) {
	if !h.since.IsZero() && asOf.After(h.until) {
		h.until = asOf
	}
}

// Restart records that versions may have been listed before since that are not known, and that
// the ones from then up to asOf are. Known ones are remembered.
func (h *History) Restart(since, asOf time.Time) { h.since, h.until = since, asOf }

// service returns the versions of a service.
func (h *History) service(name string) map[string]*versionState {
	if h.services == nil {
		h.services = map[string]map[string]*versionState{}
	}
	if h.services[name] == nil {
		h.services[name] = map[string]*versionState{}
	}
	return h.services[name]
}

// limit forgets the versions of a service beyond MaxVersions that have been gone for longest.
func (h *History) limit(service string) {
	versions := h.services[service]
	if len(versions) <= MaxVersions {
		return
	}
	var gone []string
	for name, v := range versions {
		if v.remembered() {
			gone = append(gone, name)
		}
	}
	slices.SortFunc(gone, func(a, b string) int {
		return cmp.Or(versions[b].lastListed.Compare(versions[a].lastListed), cmp.Compare(a, b))
	})
	for _, name := range gone[min(MaxVersions, len(gone)):] {
		if at := versions[name].lastListed; !h.since.IsZero() && !h.since.After(at) {
			h.since = at.Add(1)
		}
		delete(versions, name)
	}
}

// prune forgets versions that have not been listed for MaxHistory, and services without any.
func (h *History) prune(now time.Time) {
	if now.Sub(h.prunedAt) < pruneInterval {
		return
	}
	h.prunedAt = now
	for service, versions := range h.services {
		for name, v := range versions {
			if v.remembered() && now.Sub(v.lastListed) > MaxHistory {
				delete(versions, name)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// Versions returns the versions that a service has had within the last period, sorted.
func (h *History) Versions(now time.Time, service string, period time.Duration) []string {
	var out []string
	for version, v := range h.services[service] {
		if !v.remembered() || now.Sub(v.lastListed) <= period {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Departure is a version of which a replica was removed: it left, or its entry lapsed. Others
// may be listed.
type Departure struct {
	Version string
	// Ago is the time since the last removal.
	Ago time.Duration
}

// Departed returns the versions of a service of which a replica was removed within the last
// period, sorted by version.
func (h *History) Departed(now time.Time, service string, period time.Duration) []Departure {
	var out []Departure
	for version, v := range h.services[service] {
		if ago := now.Sub(v.lastRemoved); !v.lastRemoved.IsZero() && ago <= period {
			out = append(out, Departure{version, max(0, ago)})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// CompleteFor returns for how long before now the history is complete, but for what is newer
// than the view; at most MaxHistory.
func (h *History) CompleteFor(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return min(MaxHistory, max(0, now.Sub(h.since)))
}

// Length returns for how long views have been observed.
func (h *History) Length(now time.Time) time.Duration { return h.CompleteFor(now) }

// Until returns up to when the history is complete; zero if it is not complete for any time.
func (h *History) Until() time.Time { return h.until }

// Services returns the services that have or had replicas, sorted.
func (h *History) Services() []string {
	var out []string
	for service := range h.services {
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// ServiceVersions is what a host knows of the versions of one service within a period.
type ServiceVersions struct {
	// Versions are those that replicas were listed with, sorted.
	Versions []string
	// Departed are those of which a replica was removed, sorted by version.
	Departed []Departure
	// CompleteFor is for how long before now every version is known that was listed, but for
	// what is newer than the view, whose age is ViewAge.
	CompleteFor, ViewAge time.Duration
}

// FormerVersion is a version of which a replica was removed.
type FormerVersion struct {
	Service, Version string
	// LastListed is when a replica of it was last listed; zero if some are.
	LastListed time.Time
	// LastRemoved is when one was last removed.
	LastRemoved time.Time
}

// Summary is a History without the versions of which replicas are listed and none was removed.
// Its size grows with the services.
type Summary struct {
	// Since and Until delimit the time for which it is complete; zero if there is none.
	Since, Until time.Time
	Versions     []FormerVersion
}

// Summary returns the versions of which a replica was removed or last listed after a time, in
// no order.
func (h *History) Summary(now, after time.Time) Summary {
	out := Summary{Since: h.since, Until: h.until}
	if oldest := now.Add(-MaxHistory); !out.Since.IsZero() && out.Since.Before(oldest) {
		out.Since = oldest
	}
	for service, versions := range h.services {
		for version, v := range versions {
			f := FormerVersion{Service: service, Version: version, LastRemoved: v.lastRemoved}
			if v.remembered() {
				f.LastListed = v.lastListed
			}
			if latest := later(f.LastListed, f.LastRemoved); !latest.IsZero() && latest.After(after) && now.Sub(latest) <= MaxHistory {
				out.Versions = append(out.Versions, f)
			}
		}
	}
	return out
}

// Merge adds what another history knows, such as that of a peer or one read from the store's
// past. If the times for which both are complete overlap, the result is complete for both;
// otherwise for the later one. The replicas that the other one lists are not among those of its
// summary: they must be those that this history lists, unless whole is false. Then the other
// history's completeness is ignored. It returns the services that have got a further version.
func (h *History) Merge(now time.Time, s Summary, whole bool) (grown []string) {
	h.prune(now)
	if whole && !s.Since.IsZero() {
		h.join(s)
	}
	for _, f := range s.Versions {
		latest := later(f.LastListed, f.LastRemoved)
		if now.Sub(latest) > MaxHistory || latest.IsZero() {
			continue
		}
		versions := h.service(f.Service)
		v := versions[f.Version]
		if v == nil {
			v = &versionState{lastListed: latest}
			if versions[f.Version] = v; len(versions) > 1 && !slices.Contains(grown, f.Service) {
				grown = append(grown, f.Service)
			}
		}
		v.lastListed, v.lastRemoved = later(v.lastListed, latest), later(v.lastRemoved, f.LastRemoved)
	}
	for _, f := range s.Versions {
		h.limit(f.Service)
	}
	return grown
}

// join joins the time for which a summary is complete with that of the history.
func (h *History) join(s Summary) {
	switch {
	case h.since.IsZero(), s.Since.After(h.until) && s.Until.After(h.until):
		h.since, h.until = s.Since, s.Until
	case h.since.After(s.Until):
		// The summary ends before the history begins.
	default:
		if s.Since.Before(h.since) {
			h.since = s.Since
		}
		h.until = later(h.until, s.Until)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
