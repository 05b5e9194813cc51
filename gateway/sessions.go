package gateway

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/wire"
)

// The requests of a session share the last part of their prompts. They run at one version while streams
// of the session are open or may be taken up: otherwise a second version would keep the part, and be
// taken for the one that began the streams once the first one and all hosts have gone.

// sessionRetryAfter is sent to callers while an open stream of their session keeps them from the
// versions that take requests.
const sessionRetryAfter = 500 * time.Millisecond

// pickForSession picks a replica for the next attempt, and announces that it reads the prompt. A
// stream begins at the version of the open streams of its session, or else, if it can, at the one
// that has read the prompt last: after a loss of all hosts, only one version keeps it then.
func (x *exchange) pickForSession() (request.Choice, *problem.Error) {
	c, perr := x.pick(x.routerQuery())
	if perr != nil {
		x.g.shortages.record(clock.Now(), x.service)
		return c, perr
	}
	x.picked = &c
	if !x.announcesReaders() {
		x.noteReader(c.Version)
		return c, nil
	}
	others, open, answered := x.sessionReaders(c.Version)
	if len(others) == 0 {
		return c, nil
	}
	read := origin.LatestReader(others).ServiceVersion
	if len(open) > 0 {
		read = origin.LatestReader(open).ServiceVersion
	}
	if read == x.serviceVersion(c.Version) {
		return c, nil
	}
	return x.pickVersion(c, read, len(open) > 0, answered)
}

// serviceVersion is a version of the request's service.
func (x *exchange) serviceVersion(version string) origin.ServiceVersion {
	return origin.ServiceVersion{Service: x.service, Version: version}
}

// sessionReaders announces that a version reads the prompt. It returns the readers that decide where
// the request runs, and those whose streams are open; none if no other version has read it, or the
// request takes up a stream. Hosts are asked about the readers that this host knows of while the
// holders are awaited. answered is false if no holder answered.
func (x *exchange) sessionReaders(version string) (others, open []origin.Reader, answered bool) {
	known, await := x.announceReader(version, x.runs == 0)
	l, sought := x.newOpenLookup(), make(chan struct{})
	go func() {
		defer close(sought)
		if known = x.readersOfSession(known); x.readElsewhere(known, version) {
			l.seek(known)
		}
	}()
	told := await()
	<-sought
	all := slices.Concat(known, told.others)
	others = x.readersOfSession(slices.Clone(all))
	if !x.readElsewhere(others, version) {
		return nil, nil, told.answered
	}
	for _, host := range told.silent {
		if l.replies[host] == nil {
			l.replies[host] = nil // not asked again
		}
	}
	l.seek(others)
	return others, withoutSuperseded(l.open, all), told.answered
}

// readersOfSession returns those of some readers that decide where the request runs.
func (x *exchange) readersOfSession(readers []origin.Reader) []origin.Reader {
	ofRoute := slices.DeleteFunc(origin.DistinctReaders(readers), func(r origin.Reader) bool { return !x.sharesRoute(r.Service) })
	return origin.DecidingReaders(clock.Now(), ofRoute)
}

// readElsewhere reports whether another version than the picked one has read the prompt, and that
// matters: the version of a stream that is taken up is given.
func (x *exchange) readElsewhere(readers []origin.Reader, picked string) bool {
	elsewhere := func(r origin.Reader) bool { return r.ServiceVersion != x.serviceVersion(picked) }
	return x.origin.Load() == nil && slices.ContainsFunc(readers, elsewhere)
}

// sharesRoute reports whether streams that begin at a service may be taken up at the request's: a route
// leads to both, or was lately led to the latter from another one.
func (x *exchange) sharesRoute(service string) bool {
	if service == x.service {
		return true
	}
	if ago := x.g.origins.routed.movedAgo(clock.Now(), x.service); ago > 0 && ago <= origin.MaxLifetime {
		return true
	}
	for r := range x.config.Routes() {
		if services := r.Services(); slices.Contains(services, service) && slices.Contains(services, x.service) {
			return true
		}
	}
	return false
}

// pickVersion picks a replica of the version that has read the prompt, in place of one that was
// picked before. Without any, it refuses the request if a stream of its session is open there. awaits
// says that the holders of the readers are awaited once more, since they answered before.
func (x *exchange) pickVersion(before request.Choice, read origin.ServiceVersion, open, awaits bool) (request.Choice, *problem.Error) {
	c, picked := request.Choice{}, false
	if read.Service == x.service {
		q := x.routerQuery()
		q.Version, q.FixedVersion = read.Version, true
		var perr *problem.Error
		c, perr = x.g.router.Pick(clock.Now(), q, nil)
		if picked = perr == nil; picked {
			x.cancelPicked()
			x.picked = &c
		}
	}
	x.logSession(read, open, picked)
	switch {
	case picked:
		x.readVersion.Store(&read.Version)
		if _, await := x.announceReader(c.Version, x.runs == 0); awaits {
			await()
		}
		return c, nil
	case !open:
		return before, nil
	}
	x.cancelPicked()
	x.retractReader()
	perr := problem.New(problem.Overloaded, "a stream of the same session may be taken up at version %q of service %q, none of which takes the request", read.Version, read.Service)
	return request.Choice{}, withRetryAfter(perr, x.retryDelay(sessionRetryAfter))
}

// retractReader takes the last announcement back, unless an attempt has run.
func (x *exchange) retractReader() {
	if x.runs > 0 {
		return
	}
	now, r := clock.Now(), x.reader(x.announcedVersion)
	s := &x.g.origins
	s.mu.Lock()
	s.readers.Retract(r.Part, r.Stream, r.ServiceVersion)
	s.mu.Unlock()
	x.announcedVersion = ""
	m := &wire.PromptReaders{Retracted: []*wire.PromptReader{encodeReader(now, r)}}
	for _, h := range origin.Holders(r.Part, x.g.originHosts()) {
		go func() { x.g.announceTo(h.Name, nil, 0, m) }()
	}
}

// logSession writes that a request runs at the version that has read its prompt, or does not.
func (x *exchange) logSession(v origin.ServiceVersion, open, picked bool) {
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_session_versions_total{open=\"%t\",picked=\"%t\"}", open, picked)).Inc()
	x.g.log.Info("prompt was read for another request", logging.Request(x.req.ID), zap.String("service", v.Service), zap.String("software", v.Version), zap.Bool("open", open), zap.Bool("picked", picked))
}
