package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

// A replica's memory of a prompt shows which version began a stream only if no replica of another
// version has read the prompt before, for an attempt that did not bring the first event. Attempts
// that follow such a one therefore begin the stream at the version that has read it.

const (
	// repeatMargin is by how much less time than usual the caller of a repeated request has left.
	repeatMargin = 100 * time.Millisecond
	// maxRouteDeadlines limits the routes whose longest deadline is known.
	maxRouteDeadlines = 8192
)

// routeDeadlines holds the longest deadline that callers of each route have sent within
// origin.MaxHistory.
type routeDeadlines struct {
	mu      sync.Mutex
	longest map[string]observedDeadline
}

// observedDeadline is a deadline and when it was observed.
type observedDeadline struct {
	deadline time.Duration
	at       time.Time
}

// observe records a deadline.
func (d *routeDeadlines) observe(now time.Time, route string, deadline time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil || len(d.longest) >= maxRouteDeadlines {
		d.longest = map[string]observedDeadline{}
	}
	if old := d.longest[route]; deadline >= old.deadline || now.Sub(old.at) > origin.MaxHistory {
		d.longest[route] = observedDeadline{deadline, now}
	}
}

// longestOf returns the longest deadline of a route; 0 if none was observed.
func (d *routeDeadlines) longestOf(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest[route].deadline
}

// isRepeated reports whether the request seems to follow an earlier attempt of its caller, which
// has less time left then than callers have for a first attempt. A host that has just started has
// observed few of them, and compares with the timeout of the route.
func (x *exchange) isRepeated() bool {
	now := clock.Now()
	d := &x.g.origins.deadlines
	d.observe(now, x.route.Name, x.req.Timeout)
	longest := d.longestOf(x.route.Name)
	if now.Sub(x.g.started) < minStreamLifetime {
		longest = max(longest, x.route.Timeout)
	}
	return x.req.Timeout > 0 && x.req.Timeout < longest-repeatMargin
}

// preferReadVersion has a request whose prompt may have been read before begin its stream at the
// version whose replicas have read it, if the service has replicas of several versions and it is one
// version.
func (x *exchange) preferReadVersion() {
	readBefore := x.isRepeated() && x.route.Resumable || x.mayHaveUnknownReaders()
	if !readBefore || x.lastPart().ID == "" || !x.g.listsSeveralVersions(x.service) {
		return
	}
	if m := x.g.partHolders(x.r.Context(), x.req.ID, x.service, x.lastPart()); len(m.Holding) == 1 {
		x.readVersion.Store(&m.Holding[0])
		x.g.log.Info("prompt was read before; its stream begins at the same version", logging.Request(x.req.ID), zap.String("software", m.Holding[0]))
	}
}

// attemptNotingRead makes an attempt. Its replica may have read the prompt from when it is sent,
// unless it turns out that it has not run the request.
func (x *exchange) attemptNotingRead(choice request.Choice, held heldCapacity) (attemptEnd, *problem.Error) {
	if choice.Version != x.announcedVersion && x.announcesReaders() {
		_, await := x.announceReader(choice.Version, x.runs == 0) // replacements are picked without
		await()
	}
	before, runs := x.readVersion.Load(), x.runs
	if x.route.Resumable && before == nil {
		x.readVersion.Store(&choice.Version)
	}
	end, perr := x.attempt(choice, held)
	if x.runs == runs {
		x.readVersion.Store(before)
	}
	return end, perr
}

// pick picks a replica, one of the version that has read the prompt if there is any.
func (x *exchange) pick(q request.Query) (request.Choice, *problem.Error) {
	if version := x.readVersion.Load(); version != nil && !q.FixedVersion {
		preferred := q
		preferred.Version, preferred.FixedVersion = *version, true
		if c, err := x.g.router.Pick(clock.Now(), preferred, nil); err == nil {
			return c, nil
		}
	}
	return x.g.router.Pick(clock.Now(), q, nil)
}

// listsSeveralVersions reports whether the newest view lists replicas of several versions of a
// service.
func (g *Gateway) listsSeveralVersions(service string) bool {
	versions := g.discovery.Versions(clock.Now(), service, 0)
	return len(versions.Versions) > 1
}
