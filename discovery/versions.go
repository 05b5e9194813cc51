package discovery

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// The history of the versions of each service is complete as long as this host's views continue
// each other: those that it reads from the store as long as it reads the changes since the one
// before, those of a peer as long as the peer's own history reaches back to the one before.

const (
	// maxListGap is the age of a view up to which a list continues it: longer than the interval
	// of reads. Together with the second for which the store may withhold changes, it is
	// shorter than any entry is listed, which takes three heartbeats to lapse.
	maxListGap = 1500 * time.Millisecond
	// historyOverlap is by how much a peer's summary of changed versions begins before the
	// requester's view: longer than a request takes.
	historyOverlap = time.Second
	// ageTolerance is the error of the ages of versions that peers report, which are taken to
	// be sent as early as they may have been.
	ageTolerance = time.Second
)

// Versions returns the versions that a service has had within the last period, and for how long
// that is known.
func (d *Discovery) Versions(now time.Time, service string, period time.Duration) origin.ServiceVersions {
	viewAge := max(0, now.Sub(d.View().replicasAsOf))
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return origin.ServiceVersions{
		Versions: d.versions.Versions(now, service, period+ageTolerance), Departed: d.versions.Departed(now, service, period+ageTolerance),
		CompleteFor: d.versions.CompleteFor(now), ViewAge: viewAge,
	}
}

// updateVersions changes the history and reports the services that have got a further version.
// The caller holds d.mu.
func (d *Discovery) updateVersions(update func(h *origin.History) (grown []string)) {
	d.versionsMu.Lock()
	grown := update(&d.versions)
	d.versionsMu.Unlock()
	if len(grown) > 0 && d.cfg.OnNewVersions != nil {
		d.cfg.OnNewVersions(grown)
	}
}

// versionsRead records the versions of the replicas that were read from the store at a time:
// those that are not in the published view, and those that departed in between. The history is
// restarted unless this read continues the one before. The caller holds d.mu.
func (d *Discovery) versionsRead(started time.Time, departed map[serviceVersion]bool, continues bool) {
	now := clock.Now()
	changes := versionChanges(d.View().Replicas, d.registry.Replicas())
	for v := range departed {
		changes = append(changes, origin.Change{Service: v.service, Version: v.version}, origin.Change{Service: v.service, Version: v.version, Removed: true})
	}
	d.updateVersions(func(h *origin.History) []string {
		if continues {
			h.Continue(started)
		} else {
			d.logHistoryRestarted(h, now, sourceStore)
			h.Restart(now, started)
			d.historyRestarted = true
		}
		return h.Record(now, changes)
	})
}

// viewInHistory reports whether the history is complete up to the published replicas, so that
// changes since then continue it. The caller holds d.mu.
func (d *Discovery) viewInHistory() bool {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	until := d.versions.Until()
	return !until.IsZero() && !until.Before(d.View().replicasAsOf)
}

// listContinues reports whether a list that was started at a time continues the history. The
// caller holds d.mu.
func (d *Discovery) listContinues(started time.Time) bool {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	until := d.versions.Until()
	return !until.IsZero() && started.Sub(until) <= maxListGap
}

// versionsReceived records the versions of the replicas that a peer sent at a time or later, as of
// another one, and its history. complete says that the replicas are all that the peer has. The caller holds d.mu.
func (d *Discovery) versionsReceived(host string, reply *wire.NewsReply, asOf, sentAt time.Time, complete, newEra bool) {
	now := clock.Now()
	changes := versionChanges(d.View().Replicas, d.registry.Replicas())
	d.updateVersions(func(h *origin.History) []string {
		before := h.CompleteFor(now)
		grown := h.Record(now, changes)
		if received := reply.GetVersions(); received != nil {
			s := summaryOf(received, now, asOf, sentAt)
			if complete && !newEra && !h.Until().IsZero() && s.Since.Sub(h.Until()) <= maxListGap {
				// The peer's history begins with a list, which continues this one.
				h.Continue(s.Since)
			}
			grown = append(grown, h.Merge(now, s, complete)...)
		}
		switch {
		case !complete || reply.GetVersions().GetCompleteMs() > 0:
		case newEra || h.Until().IsZero() || asOf.Sub(h.Until()) > maxListGap:
			h.Restart(now, asOf)
		default:
			h.Continue(asOf)
		}
		d.logHistoryChange(h, now, host, before)
		return grown
	})
}

// logHistoryChange logs that a peer's reply has extended or interrupted the history, which was
// complete for the time before. The caller holds d.versionsMu.
func (d *Discovery) logHistoryChange(h *origin.History, now time.Time, host string, before time.Duration) {
	switch after := h.CompleteFor(now); {
	case after > before+historyOverlap:
		d.log.Info("version history extended", zap.String("source", host), zap.Duration("before", before), zap.Duration("complete_for", after))
	case after < before-historyOverlap:
		d.log.Warn("version history interrupted", zap.String("source", host), zap.Duration("before", before), zap.Duration("complete_for", after))
	}
}

// logHistoryRestarted logs that versions may have been listed that are not known. The caller
// holds d.versionsMu.
func (d *Discovery) logHistoryRestarted(h *origin.History, now time.Time, source string) {
	if before := h.CompleteFor(now); before > 0 {
		d.log.Warn("version history interrupted", zap.String("source", source), zap.Duration("before", before), zap.Duration("view_age", now.Sub(h.Until())))
	}
}

// serviceVersion is a version of a service.
type serviceVersion struct{ service, version string }

func versionOf(r *catalog.Replica) serviceVersion { return serviceVersion{r.Service, r.Version} }

// versionChanges returns the replicas that were added and removed between two sets.
func versionChanges(old, next *catalog.ReplicaSet) []origin.Change {
	if old == nil {
		old = &catalog.ReplicaSet{}
	}
	var changes []origin.Change
	for _, c := range old.Diff(next) {
		if c.Old != nil && c.New != nil && versionOf(c.Old) == versionOf(c.New) {
			continue
		}
		if c.New != nil {
			changes = append(changes, origin.Change{Service: c.New.Service, Version: c.New.Version})
		}
		if c.Old != nil {
			changes = append(changes, origin.Change{Service: c.Old.Service, Version: c.Old.Version, Removed: true})
		}
	}
	return changes
}

// knownHistory returns for how long before its replicas' age this host's history is complete,
// in the form that requests have. The caller holds d.mu.
func (d *Discovery) knownHistory(v *View) uint32 {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	if d.versions.Until().Before(v.replicasAsOf) {
		return 1
	}
	return uint32(d.versions.CompleteFor(v.replicasAsOf).Milliseconds()) + 1
}

// versionsReply returns the versions that a requester may not know whose view is of the given
// time; nil if it takes none. The caller holds d.mu.
func (d *Discovery) versionsReply(v *View, now, requesterAsOf time.Time, historyMs uint32) *wire.VersionHistory {
	if historyMs == 0 {
		return nil
	}
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	requesterSince := requesterAsOf.Add(-time.Duration(historyMs-1) * time.Millisecond)
	s := d.versions.Summary(now, time.Time{})
	if from := requesterAsOf.Add(-historyOverlap); !s.Since.After(from) && !requesterSince.After(s.Since.Add(historyOverlap)) {
		// What is older is known to the requester.
		until := s.Until
		s = d.versions.Summary(now, from.Add(-ageTolerance))
		s.Since, s.Until = from, until
	}
	reply := &wire.VersionHistory{}
	if !s.Since.IsZero() && !s.Until.Before(v.replicasAsOf) {
		reply.CompleteMs = max(1, uint32(max(0, now.Sub(s.Since).Milliseconds())))
	}
	for _, f := range s.Versions {
		reply.Versions = append(reply.Versions, formerVersionToWire(f, now))
	}
	return reply
}

func formerVersionToWire(f origin.FormerVersion, now time.Time) *wire.FormerVersion {
	out := &wire.FormerVersion{Service: f.Service, Version: f.Version, Unlisted: !f.LastListed.IsZero()}
	if out.Unlisted {
		out.ListedMs = uint32(max(0, now.Sub(f.LastListed).Milliseconds()))
	}
	if !f.LastRemoved.IsZero() {
		removed := uint32(max(0, now.Sub(f.LastRemoved).Milliseconds()))
		out.RemovedMs = &removed
	}
	return out
}

// summaryOf returns a peer's history. It was sent between sentAt and received; its completeness
// is taken to begin as late as possible. The ages of versions count from sentAt: with each host
// that passes them on they would otherwise grow younger.
func summaryOf(in *wire.VersionHistory, received, asOf, sentAt time.Time) origin.Summary {
	var s origin.Summary
	if in.GetCompleteMs() > 0 {
		s.Since, s.Until = received.Add(-time.Duration(in.GetCompleteMs())*time.Millisecond), asOf
	}
	for _, v := range in.GetVersions() {
		f := origin.FormerVersion{Service: v.GetService(), Version: v.GetVersion()}
		if v.GetUnlisted() {
			f.LastListed = sentAt.Add(-time.Duration(v.GetListedMs()) * time.Millisecond)
		}
		if v.RemovedMs != nil {
			f.LastRemoved = sentAt.Add(-time.Duration(v.GetRemovedMs()) * time.Millisecond)
		}
		s.Versions = append(s.Versions, f)
	}
	return s
}

// VersionsDump is what a host knows of the versions that replicas were listed with.
type VersionsDump struct {
	// CompleteSeconds is for how many seconds every version is known.
	CompleteSeconds float64 `json:"complete_s"`
	// Services lists the versions of each service within that time, at most
	// origin.MaxHistory, sorted.
	Services map[string][]string `json:"services"`
}

// dumpVersions returns the state of the history.
func (d *Discovery) dumpVersions(now time.Time) VersionsDump {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	dump := VersionsDump{CompleteSeconds: d.versions.CompleteFor(now).Seconds(), Services: map[string][]string{}}
	for _, service := range d.versions.Services() {
		dump.Services[service] = slices.Clip(d.versions.Versions(now, service, origin.MaxHistory))
	}
	return dump
}
