package member

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// probe is one ping that is not yet answered.
type probe struct {
	seq    uint64
	target string
	sent   time.Time
	// indirectAt is when others are asked; zero once they were.
	indirectAt time.Time
	// failAt is when the target becomes suspect.
	failAt time.Time
	// blame is unset for pings that push news or serve another daemon.
	blame bool
	// origin and originSeq name the daemon that asked for this ping.
	origin    string
	originSeq uint64
}

// probeNext probes the next neighbour, and now and then another host.
func (m *Machine) probeNext(now time.Time) {
	target, ok := m.nextTarget()
	if !ok {
		return
	}
	m.stats.Probes++
	p := m.ping(now, target)
	p.blame = true
	p.indirectAt = now.Add(m.health.scale(m.cfg.ProbeTimeout))
	p.failAt = now.Add(m.health.scale(m.cfg.ProbeInterval))
}

// deadEvery is how many turns of a dead neighbour pass for one probe of it;
// its other turns go to hosts outside the overlay, whose own probers may have
// gone with it.
const deadEvery = 4

// nextTarget goes through the neighbours in shuffled rounds.
func (m *Machine) nextTarget() (string, bool) {
	if len(m.near) == 0 {
		return "", false
	}
	m.probed++
	if m.cfg.RandomEvery > 0 && m.probed%uint64(m.cfg.RandomEvery) == 0 {
		if name, ok := m.stranger(); ok {
			return name, true
		}
	}
	if len(m.round) == 0 {
		m.round = slices.Clone(m.near)
		m.rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	target := m.round[0]
	m.round = m.round[1:]
	if m.hosts[target].state == wire.MemberState_MEMBER_DEAD && m.rng.IntN(deadEvery) != 0 {
		if name, ok := m.stranger(); ok {
			return name, true
		}
	}
	return target, true
}

// stranger draws a host outside the overlay that is not believed dead; a few
// draws are enough while most hosts live.
func (m *Machine) stranger() (string, bool) {
	if len(m.names) <= len(m.near)+1 {
		return "", false
	}
	for range 2 * deadEvery {
		name := m.names[m.rng.IntN(len(m.names))]
		if name != m.cfg.Self.Name && !m.isNear(name) && m.hosts[name].state != wire.MemberState_MEMBER_DEAD {
			return name, true
		}
	}
	return "", false
}

// ping sends a ping that blames nobody and is forgotten after an interval.
func (m *Machine) ping(now time.Time, target string) *probe {
	m.seq++
	p := &probe{seq: m.seq, target: target, sent: now, failAt: now.Add(m.health.scale(m.cfg.ProbeInterval))}
	m.probes = append(m.probes, p)
	m.send(target, &wire.MemberPing{Seq: p.seq, Digest: m.digest(now, target, false)})
	return p
}

// take removes and returns the probe of seq.
func (m *Machine) take(seq uint64) *probe {
	i := slices.IndexFunc(m.probes, func(p *probe) bool { return p.seq == seq })
	if i < 0 {
		return nil
	}
	p := m.probes[i]
	m.probes = slices.Delete(m.probes, i, i+1)
	return p
}

// acked takes an answer to a ping.
func (m *Machine) acked(now time.Time, from string, ack *wire.MemberAck) {
	p := m.take(ack.GetSeq())
	solicited := p != nil && p.target == from
	if solicited {
		m.clock.add(from, ack.GetDigest().GetWallUnixMs(), p.sent, now)
		m.fresh.acked[from] = true
		if p.blame {
			m.health.probe(false)
		}
		if p.origin != "" {
			m.send(p.origin, &wire.MemberRelayAck{Seq: p.originSeq, Target: from})
		}
	}
	m.digestHeard(now, from, ack.GetDigest(), solicited)
	m.renew(now)
}

// relayed takes another daemon's word that the target answered it: the path
// between us is cut, not the target dead.
func (m *Machine) relayed(msg *wire.MemberRelayAck) {
	i := slices.IndexFunc(m.probes, func(p *probe) bool { return p.seq == msg.GetSeq() && p.target == msg.GetTarget() })
	if i < 0 {
		return
	}
	m.probes = slices.Delete(m.probes, i, i+1)
}

// pingFor pings a host for another daemon.
func (m *Machine) pingFor(now time.Time, origin string, msg *wire.MemberPingRequest) {
	if _, ok := m.hosts[msg.GetTarget()]; !ok || msg.GetTarget() == m.cfg.Self.Name {
		return
	}
	if len(m.probes) >= maxProbes {
		m.act(Rejected{origin, "too many probes in flight"})
		return
	}
	p := m.ping(now, msg.GetTarget())
	p.origin, p.originSeq = origin, msg.GetSeq()
}

// maxProbes bounds the pings in flight.
const maxProbes = 64

// failed asks others at once when a ping did not reach its host.
func (m *Machine) failed(now time.Time, e SendFailed) {
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

// expireProbes asks others about late acks and suspects those that never came.
func (m *Machine) expireProbes(now time.Time) {
	for _, p := range slices.Clone(m.probes) {
		if !p.indirectAt.IsZero() && !now.Before(p.indirectAt) {
			p.indirectAt = time.Time{}
			m.askOthers(p)
		}
		if now.Before(p.failAt) {
			continue
		}
		m.take(p.seq)
		if p.blame {
			m.probeFailed(now, p)
		}
	}
}

// askOthers asks some living neighbours to probe the target, those of other
// failure domains than ours first. A host believed dead is left alone.
func (m *Machine) askOthers(p *probe) {
	e := m.hosts[p.target]
	if e == nil || e.state == wire.MemberState_MEMBER_DEAD {
		return
	}
	helpers := m.livingNear(p.target)
	slices.SortStableFunc(helpers, func(a, b string) int {
		return m.domainRank(a) - m.domainRank(b)
	})
	for _, h := range helpers[:min(len(helpers), m.cfg.IndirectProbes)] {
		m.stats.IndirectProbes++
		m.send(h, &wire.MemberPingRequest{Seq: p.seq, Target: p.target})
	}
}

// domainRank is 0 for hosts of other failure domains, 1 for our own.
func (m *Machine) domainRank(host string) int {
	if m.hosts[host].host.FailureDomain == m.cfg.Self.FailureDomain {
		return 1
	}
	return 0
}

// livingNear returns the neighbours not suspect or dead in random order.
func (m *Machine) livingNear(except string) []string {
	out := make([]string, 0, len(m.near))
	for _, name := range m.near {
		state := m.hosts[name].state
		if name != except && state != wire.MemberState_MEMBER_DEAD && state != wire.MemberState_MEMBER_SUSPECT {
			out = append(out, name)
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// probeFailed makes the target suspect.
func (m *Machine) probeFailed(now time.Time, p *probe) {
	m.stats.ProbesFailed++
	e := m.hosts[p.target]
	if e == nil {
		return
	}
	if e.state == wire.MemberState_MEMBER_DEAD {
		return // known; its silence says nothing about our health either
	}
	m.health.probe(true)
	m.mergeRecord(now, m.cfg.Self.Name, &wire.MemberRecord{
		Host: p.target, Incarnation: e.incarnation, Seq: e.seq,
		State: wire.MemberState_MEMBER_SUSPECT, Leaving: e.leaving, By: m.cfg.Self.Name,
	})
}

// pushes paces the pings that carry urgent news.
type pushes struct {
	due    bool
	tokens float64
	at     time.Time
}

// The pushes' token bucket: pings at once and pings a second.
const (
	pushBurst = 9
	pushRate  = 1.0
)

// urgent asks for a push at the next tick.
func (p *pushes) urgent() { p.due = true }

// pushNews pings some neighbours at once if there is urgent news; all of them
// while the views are stale, so that they are renewed soon.
func (m *Machine) pushNews(now time.Time) {
	if !m.push.due {
		return
	}
	if m.push.at.IsZero() {
		m.push.tokens = pushBurst
	} else {
		m.push.tokens = min(pushBurst, m.push.tokens+now.Sub(m.push.at).Seconds()*pushRate)
	}
	m.push.at = now
	m.push.due = false
	near := m.livingNear("")
	if m.fresh.fresh {
		near = near[:min(len(near), m.cfg.PushFanout)]
	}
	for _, name := range near {
		if m.push.tokens < 1 {
			return
		}
		m.push.tokens--
		m.stats.Pushes++
		m.ping(now, name)
	}
}
