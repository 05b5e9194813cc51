package member

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// probe is one ping that has not been answered yet.
type probe struct {
	seq    uint64
	target string
	sent   time.Time
	// indirectAt is when other daemons are asked to probe the target; zero if
	// they are never asked or already were.
	indirectAt time.Time
	// failAt is when the probe counts as failed.
	failAt time.Time
	// suspectOnFailure makes the target suspect when the probe fails. It is unset
	// for pings that push an update or that serve another daemon's request.
	suspectOnFailure bool
	// requester is the daemon that requested this ping, if any, and requesterSeq
	// the seq of its own ping.
	requester    string
	requesterSeq uint64
}

// probeNext probes the next neighbour, or occasionally another host.
func (m *Machine) probeNext(now time.Time) {
	target, ok := m.nextProbeTarget()
	if !ok {
		return
	}
	m.stats.Probes++
	p := m.ping(now, target)
	p.suspectOnFailure = true
	p.indirectAt = now.Add(m.health.scaleTimeout(m.cfg.ProbeTimeout))
	p.failAt = now.Add(m.health.scaleTimeout(m.cfg.ProbeInterval))
}

// deadNeighbourProbeEvery is how many turns of a dead neighbour there are, on
// average, per probe of it. The other turns go to random hosts that are not
// neighbours, since their own probers may have failed along with the dead one.
const deadNeighbourProbeEvery = 4

// nextProbeTarget iterates over the neighbours in rounds of random order. It returns
// a random host that is not a neighbour for every RandomProbeEvery-th probe, and for
// most turns of dead neighbours.
func (m *Machine) nextProbeTarget() (string, bool) {
	if len(m.neighbours) == 0 {
		return "", false
	}
	m.probeCount++
	if m.cfg.RandomProbeEvery > 0 && m.probeCount%uint64(m.cfg.RandomProbeEvery) == 0 {
		if name, ok := m.randomNonNeighbour(); ok {
			return name, true
		}
	}
	if len(m.probeRound) == 0 {
		m.probeRound = slices.Clone(m.neighbours)
		m.rng.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	target := m.probeRound[0]
	m.probeRound = m.probeRound[1:]
	if m.hosts[target].state == wire.MemberState_MEMBER_DEAD && m.rng.IntN(deadNeighbourProbeEvery) != 0 {
		if name, ok := m.randomNonNeighbour(); ok {
			return name, true
		}
	}
	return target, true
}

// randomNonNeighbour picks a random host that is not a neighbour and not dead.
// It gives up after a few attempts, which suffice while most hosts are alive.
func (m *Machine) randomNonNeighbour() (string, bool) {
	if len(m.names) <= len(m.neighbours)+1 {
		return "", false
	}
	for range 2 * deadNeighbourProbeEvery {
		name := m.names[m.rng.IntN(len(m.names))]
		if name != m.cfg.Self.Name && !m.isNeighbour(name) && m.hosts[name].state != wire.MemberState_MEMBER_DEAD {
			return name, true
		}
	}
	return "", false
}

// ping sends a ping that raises no suspicion and is dropped after an interval.
func (m *Machine) ping(now time.Time, target string) *probe {
	m.lastPingSeq++
	p := &probe{seq: m.lastPingSeq, target: target, sent: now, failAt: now.Add(m.health.scaleTimeout(m.cfg.ProbeInterval))}
	m.probes = append(m.probes, p)
	m.send(target, &wire.MemberPing{Seq: p.seq, Digest: m.buildDigest(now, target, false)})
	return p
}

// removeProbe removes and returns the probe with the given seq, or returns nil.
func (m *Machine) removeProbe(seq uint64) *probe {
	i := slices.IndexFunc(m.probes, func(p *probe) bool { return p.seq == seq })
	if i < 0 {
		return nil
	}
	p := m.probes[i]
	m.probes = slices.Delete(m.probes, i, i+1)
	return p
}

// handleAck processes the answer to a ping.
func (m *Machine) handleAck(now time.Time, from string, ack *wire.MemberAck) {
	p := m.removeProbe(ack.GetSeq())
	solicited := p != nil && p.target == from
	if solicited {
		m.clock.add(from, ack.GetDigest().GetWallUnixMs(), p.sent, now)
		m.freshness.acked[from] = true
		if p.suspectOnFailure {
			m.health.recordProbe(false)
		}
		if p.requester != "" {
			m.send(p.requester, &wire.MemberRelayAck{Seq: p.requesterSeq, Target: from})
		}
	}
	m.handleDigest(now, from, ack.GetDigest(), solicited)
	m.updateFreshness(now)
}

// handleRelayAck ends a probe whose target answered another daemon: the network
// path to the target has failed, but the target is alive.
func (m *Machine) handleRelayAck(msg *wire.MemberRelayAck) {
	i := slices.IndexFunc(m.probes, func(p *probe) bool { return p.seq == msg.GetSeq() && p.target == msg.GetTarget() })
	if i < 0 {
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
}

// handlePingRequest pings a host on behalf of another daemon.
func (m *Machine) handlePingRequest(now time.Time, requester string, msg *wire.MemberPingRequest) {
	if _, ok := m.hosts[msg.GetTarget()]; !ok || msg.GetTarget() == m.cfg.Self.Name {
		return
	}
	if len(m.probes) >= maxProbes {
		m.emit(Rejected{requester, "too many pings in flight"})
		return
	}
	p := m.ping(now, msg.GetTarget())
	p.requester, p.requesterSeq = requester, msg.GetSeq()
}

// maxProbes is the number of pings in flight from which ping requests of other
// daemons are rejected.
const maxProbes = 64

// handleFailed schedules the indirect probes for the next tick when a ping did
// not reach its host.
func (m *Machine) handleFailed(now time.Time, e SendFailed) {
	ping, ok := e.Msg.(*wire.MemberPing)
	if !ok {
		return
	}
	for _, p := range m.probes {
		if p.seq == ping.GetSeq() && !p.indirectAt.IsZero() {
			p.indirectAt = now
		}
	}
}

// expireProbes requests indirect probes of targets whose ack is late and
// suspects targets whose probe has failed.
func (m *Machine) expireProbes(now time.Time) {
	for _, p := range slices.Clone(m.probes) {
		if !p.indirectAt.IsZero() && !now.Before(p.indirectAt) {
			p.indirectAt = time.Time{}
			m.requestIndirectProbes(p)
		}
		if now.Before(p.failAt) {
			continue
		}
		m.removeProbe(p.seq)
		if p.suspectOnFailure {
			m.probeFailed(now, p)
		}
	}
}

// requestIndirectProbes asks some live neighbours to probe the target, preferring
// those outside this host's failure domain. Dead targets are skipped.
func (m *Machine) requestIndirectProbes(p *probe) {
	e := m.hosts[p.target]
	if e == nil || e.state == wire.MemberState_MEMBER_DEAD {
		return
	}
	helpers := m.healthyNeighbours(p.target)
	slices.SortStableFunc(helpers, func(a, b string) int {
		return m.domainRank(a) - m.domainRank(b)
	})
	for _, h := range helpers[:min(len(helpers), m.cfg.IndirectProbes)] {
		m.stats.IndirectProbes++
		m.send(h, &wire.MemberPingRequest{Seq: p.seq, Target: p.target})
	}
}

// domainRank returns 0 for hosts of other failure domains, 1 for hosts in this
// host's domain.
func (m *Machine) domainRank(host string) int {
	if m.hosts[host].host.FailureDomain == m.cfg.Self.FailureDomain {
		return 1
	}
	return 0
}

// healthyNeighbours returns the neighbours that are neither suspect nor dead, in
// random order.
func (m *Machine) healthyNeighbours(except string) []string {
	out := make([]string, 0, len(m.neighbours))
	for _, name := range m.neighbours {
		state := m.hosts[name].state
		if name != except && state != wire.MemberState_MEMBER_DEAD && state != wire.MemberState_MEMBER_SUSPECT {
			out = append(out, name)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// probeFailed records a failed probe and makes its target suspect.
func (m *Machine) probeFailed(now time.Time, p *probe) {
	m.stats.ProbesFailed++
	e := m.hosts[p.target]
	if e == nil {
		return
	}
	if e.state == wire.MemberState_MEMBER_DEAD {
		return // already dead; the failure says nothing about local health either
	}
	m.health.recordProbe(true)
	m.mergeRecord(now, m.cfg.Self.Name, &wire.MemberRecord{
		Host: p.target, Incarnation: e.incarnation, Seq: e.seq,
		State: wire.MemberState_MEMBER_SUSPECT, Leaving: e.leaving, By: m.cfg.Self.Name,
	})
}

// pushState rate-limits the pings that carry urgent updates.
type pushState struct {
	requested  bool
	tokens     float64
	refilledAt time.Time
}

// The token bucket of pushes: burst size in pings and rate in pings per second.
const (
	pushBurst = 9
	pushRate  = 1.0
)

// request schedules a push for the next tick.
func (p *pushState) request() { p.requested = true }

// sendPushes pings some neighbours if a push was requested, or all of them while
// the membership view is stale, so that it is refreshed soon.
func (m *Machine) sendPushes(now time.Time) {
	if !m.push.requested {
		return
	}
	if m.push.refilledAt.IsZero() {
		m.push.tokens = pushBurst
	} else {
		m.push.tokens = min(pushBurst, m.push.tokens+now.Sub(m.push.refilledAt).Seconds()*pushRate)
	}
	m.push.refilledAt = now
	m.push.requested = false
	targets := m.healthyNeighbours("")
	if m.freshness.fresh {
		targets = targets[:min(len(targets), m.cfg.PushFanout)]
	}
	for _, name := range targets {
		if m.push.tokens < 1 {
			return
		}
		m.push.tokens--
		m.stats.Pushes++
		m.ping(now, name)
	}
}
