package rollout

import "time"

// maxPollBackoff bounds the doublings of the wait after failed reads. The
// fleet's reads are few anyway, so it need not be long.
const maxPollBackoff = 2

// markAge is how long a peer's word on the service counts; neighbours are
// heard every few seconds, others by chance.
const markAge = 30 * time.Second

// poll is the reading of the configuration service.
type poll struct {
	last time.Time // end of the last read, or the start
	// first is the wait before the first read, draw the random part (0.5 to
	// 1.5) of the wait before a later one.
	first    time.Duration
	draw     float64
	deadline time.Time // of the read in flight; zero when there is none
	done     int       // reads that ended
	failures int       // in a row
}

// pollDue asks for a read when its time has come.
func (m *Machine) pollDue(now time.Time) {
	if !m.poll.deadline.IsZero() {
		if !now.Before(m.poll.deadline) {
			m.polled(now, ErrPollTimeout)
		}
		return
	}
	if now.Sub(m.poll.last) < m.pollWait(now) {
		return
	}
	m.poll.deadline = now.Add(m.cfg.PollTimeout)
	m.stats.Polls++
	after := m.revision
	if after == 0 {
		after = m.readRevision
	}
	if m.cfg.FullEvery > 0 && m.stats.Polls%uint64(m.cfg.FullEvery) == 0 {
		after = 0
	}
	m.act(PollService{after})
}

// polled ends a read and draws the wait before the next.
func (m *Machine) polled(now time.Time, err error) {
	failing := m.poll.failures > 0
	m.poll.deadline = time.Time{}
	m.poll.done++
	m.poll.failures++
	if err == nil {
		m.poll.failures = 0
	} else {
		m.stats.PollsFailed++
	}
	m.poll.last = now
	m.poll.draw = 0.5 + m.rng.Float64()
	if failing != (m.poll.failures > 0) {
		m.announce(false)
	}
}

// pollWait returns the wait before the next read: uniform around a mean that
// grows with the number of daemons that reach the service, so that the fleet's
// successful reads a second stay the same. It follows the fleet's changes
// while a daemon waits.
func (m *Machine) pollWait(now time.Time) time.Duration {
	if m.poll.done == 0 {
		return m.poll.first
	}
	readers := float64(m.living) * m.readerShare(now)
	mean := max(m.cfg.MinPollInterval, time.Duration(readers*float64(m.cfg.PollSpacing)))
	mean <<= min(m.poll.failures, maxPollBackoff)
	if m.current == nil {
		mean = m.cfg.MinPollInterval
	}
	return min(time.Duration(m.poll.draw*float64(mean)), m.cfg.PollMax)
}

// readerShare estimates the share of the fleet that reaches the service from
// what the peers say of their last reads; it counts this daemon as a reader.
func (m *Machine) readerShare(now time.Time) float64 {
	readers, heard := 1, 1
	for _, p := range m.peers {
		if now.Sub(p.heardAt) > markAge {
			continue
		}
		heard++
		if !p.mark.GetServiceFailed() {
			readers++
		}
	}
	return float64(readers) / float64(heard)
}

// answered considers a document of the service.
func (m *Machine) answered(now time.Time, e ServiceAnswered) {
	m.polled(now, nil)
	m.stats.Documents++
	m.readRevision = e.Revision
	if !m.consider(e.Signed, Source{}) {
		return
	}
	if m.revision != e.Revision {
		m.revision = e.Revision
		m.announce(false)
	}
}

// Dump is the state of a Machine for operators.
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

// Dump returns the whole state.
func (m *Machine) Dump(now time.Time) Dump {
	d := Dump{
		Version: m.version(), Digest: m.mark().GetDigest(), Source: m.source.String(), Revision: m.revision,
		Ready: m.ready, Peers: map[string]uint64{}, PollIn: m.pollWait(now) - now.Sub(m.poll.last), Stats: m.stats,
	}
	if m.current == nil {
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
