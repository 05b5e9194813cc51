package rollout

import "time"

// maxPollBackoffDoublings limits how often the delay doubles after failed reads.
// A low limit is enough because the fleet makes few reads in any case.
const maxPollBackoffDoublings = 2

// maxMarkAge is how long a peer's report on its last read of the service is
// used. Marks of neighbours arrive every few seconds, those of other hosts only
// when a random probe reaches them.
const maxMarkAge = 30 * time.Second

// pollState is the state of the reads of the configuration service.
type pollState struct {
	lastEnd time.Time // end of the last read, or the start
	// firstDelay is the delay before the first read. jitter is the random factor
	// (0.5 to 1.5) of the delay before each later one.
	firstDelay time.Duration
	jitter     float64
	deadline   time.Time // of the read in flight; zero if there is none
	completed  int       // number of reads that ended
	failures   int       // consecutive failed reads
}

// pollIfDue requests a read if one is due and ends a read that has timed out.
func (m *Machine) pollIfDue(now time.Time) {
	if !m.poll.deadline.IsZero() {
		if !now.Before(m.poll.deadline) {
			m.endPoll(now, ErrPollTimeout)
		}
		return
	}
	if now.Sub(m.poll.lastEnd) < m.pollDelay(now) {
		return
	}
	m.poll.deadline = now.Add(m.cfg.PollTimeout)
	m.stats.Polls++
	after := m.revision
	if after == 0 {
		after = m.lastReadRevision
	}
	if m.cfg.FullReadEvery > 0 && m.stats.Polls%uint64(m.cfg.FullReadEvery) == 0 {
		after = 0
	}
	m.emit(PollService{after})
}

// endPoll ends a read and picks the jitter of the delay before the next one.
func (m *Machine) endPoll(now time.Time, err error) {
	wasFailing := m.poll.failures > 0
	m.poll.deadline = time.Time{}
	m.poll.completed++
	m.poll.failures++
	if err == nil {
		m.poll.failures = 0
	} else {
		m.stats.PollsFailed++
	}
	m.poll.lastEnd = now
	m.poll.jitter = 0.5 + m.rng.Float64()
	if wasFailing != (m.poll.failures > 0) {
		m.announce(false)
	}
}

// pollDelay returns the delay before the next read. It is uniformly distributed
// around a mean that grows with the number of daemons that reach the service, so
// that the fleet's rate of successful reads stays constant. Changes of the fleet
// take effect while a daemon waits.
func (m *Machine) pollDelay(now time.Time) time.Duration {
	if m.poll.completed == 0 {
		return m.poll.firstDelay
	}
	readers := float64(m.liveHosts) * m.readerShare(now)
	mean := max(m.cfg.MinPollInterval, time.Duration(readers*float64(m.cfg.FleetPollInterval)))
	mean <<= min(m.poll.failures, maxPollBackoffDoublings)
	if m.active == nil {
		mean = m.cfg.MinPollInterval
	}
	return min(time.Duration(m.poll.jitter*float64(mean)), m.cfg.MaxPollDelay)
}

// readerShare estimates the share of the fleet that reaches the service, from the
// outcomes of the peers' last reads. It counts this daemon as a reader.
func (m *Machine) readerShare(now time.Time) float64 {
	readers, counted := 1, 1
	for _, p := range m.peers {
		if now.Sub(p.receivedAt) > maxMarkAge {
			continue
		}
		counted++
		if !p.mark.GetServiceFailed() {
			readers++
		}
	}
	return float64(readers) / float64(counted)
}

// handleServiceAnswer tries to adopt a document read from the service.
func (m *Machine) handleServiceAnswer(now time.Time, e ServiceAnswered) {
	m.endPoll(now, nil)
	m.stats.Documents++
	m.lastReadRevision = e.Revision
	if !m.tryAdopt(e.Signed, Source{}) {
		return
	}
	if m.revision != e.Revision {
		m.revision = e.Revision
		m.announce(false)
	}
}

// Dump is the state of a Machine, for operators.
type Dump struct {
	Version  uint64            `json:"version"`
	Digest   uint64            `json:"digest"`
	Source   string            `json:"source"`
	Revision uint64            `json:"service_revision"`
	Ready    bool              `json:"ready"`
	Fetching string            `json:"fetching_from,omitempty"`
	Peers    map[string]uint64 `json:"peer_versions"`
	PollIn   time.Duration     `json:"next_poll_in_ns"`
	Stats    Stats             `json:"stats"`
}

// Dump returns the complete state.
func (m *Machine) Dump(now time.Time) Dump {
	d := Dump{
		Version: m.version(), Digest: m.currentMark().GetDigest(), Source: m.source.String(), Revision: m.revision,
		Ready: m.ready, Peers: map[string]uint64{}, PollIn: m.pollDelay(now) - now.Sub(m.poll.lastEnd), Stats: m.stats,
	}
	if m.active == nil {
		d.Source = ""
	}
	if m.fetch != nil {
		d.Fetching = m.fetch.from
	}
	for host, p := range m.peers {
		d.Peers[host] = p.mark.GetVersion()
	}
	return d
}
