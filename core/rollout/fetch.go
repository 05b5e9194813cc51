package rollout

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/wire"
)

// fetch is a transfer of a document from one peer.
type fetch struct {
	from    string
	version uint64
	// deadline is when the pending answer counts as lost. Each answer with new
	// parts extends it, so that a slow link delays the transfer instead of
	// failing it.
	deadline time.Time
	manifest *wire.BundleManifest
}

// digestOf returns the SHA-256 of a document or part.
func digestOf(signed []byte) hash { return sha256.Sum256(signed) }

// pickPeer picks at random one of the peers that announce the highest version.
// It considers only versions above the active one and skips peers that are being
// avoided and documents that were rejected.
func (m *Machine) pickPeer(now time.Time) (string, bool) {
	best := m.version()
	var hosts []string
	for host, p := range m.peers {
		v := p.mark.GetVersion()
		if v <= m.version() || now.Before(p.avoidUntil) || m.rejected.contains(documentID{digest: p.mark.GetDigest()}) {
			continue
		}
		if v > best {
			best, hosts = v, nil
		}
		if v == best {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return "", false
	}
	slices.Sort(hosts)
	return hosts[m.rng.IntN(len(hosts))], true
}

// startFetch starts a transfer if none is running and a peer has a higher
// version.
func (m *Machine) startFetch(now time.Time) {
	if m.fetch != nil {
		return
	}
	host, ok := m.pickPeer(now)
	if !ok {
		return
	}
	m.stats.Fetches++
	m.fetch = &fetch{from: host, version: m.peers[host].mark.GetVersion(), deadline: now.Add(m.cfg.FetchTimeout)}
	m.emit(FetchManifest{host})
}

// fetchingFrom reports whether an answer from a host belongs to the running
// transfer.
func (m *Machine) fetchingFrom(from string) bool { return m.fetch != nil && m.fetch.from == from }

// handleManifest requests the missing parts. The manifest may have another version
// than the mark announced, as long as it is above the active one.
func (m *Machine) handleManifest(now time.Time, e ManifestArrived) {
	if !m.fetchingFrom(e.From) || m.fetch.manifest != nil {
		return
	}
	if err := validateManifest(e.Manifest); err != nil {
		m.rejectTransfer(now, err)
		return
	}
	if e.Manifest.GetVersion() <= m.version() {
		m.failFetch(now, e.From)
		return
	}
	m.fetch.version = e.Manifest.GetVersion()
	m.fetch.manifest = e.Manifest
	m.pruneParts(e.Manifest)
	m.requestParts(now)
}

// validateManifest returns an error for a manifest that exceeds a limit or holds
// a hash of the wrong size.
func validateManifest(manifest *wire.BundleManifest) error {
	if len(manifest.GetDigest()) != sha256.Size || manifest.GetSize() > MaxDocumentBytes || len(manifest.GetParts()) > MaxParts {
		return fmt.Errorf("%w: manifest digest has the wrong size or the manifest exceeds a limit", ErrTransfer)
	}
	for _, part := range manifest.GetParts() {
		if len(part) != sha256.Size {
			return fmt.Errorf("%w: manifest holds a part hash of %d bytes", ErrTransfer, len(part))
		}
	}
	return nil
}

// requestParts requests the next batch of missing parts, or assembles the
// document if there are none.
func (m *Machine) requestParts(now time.Time) {
	req := &wire.BundlePartsRequest{}
	requested := map[hash]bool{}
	for _, raw := range m.fetch.manifest.GetParts() {
		h := hash(raw)
		if _, ok := m.part(h); ok || requested[h] {
			continue
		}
		requested[h] = true
		if len(req.Hashes) < MaxBatchParts {
			req.Hashes = append(req.Hashes, raw)
		}
	}
	if len(req.Hashes) > 0 {
		m.fetch.deadline = now.Add(m.cfg.FetchTimeout)
		m.emit(FetchParts{m.fetch.from, req})
		return
	}
	m.assemble(now)
}

// pruneParts drops the parts from earlier transfers that the manifest does not
// list, which limits their number. Keeping the others lets a transfer that failed
// midway resume from another peer.
func (m *Machine) pruneParts(manifest *wire.BundleManifest) {
	kept := make(map[hash][]byte, len(m.parts))
	for _, raw := range manifest.GetParts() {
		if p, ok := m.parts[hash(raw)]; ok {
			kept[hash(raw)] = p
		}
	}
	m.parts = kept
}

// part returns a part that was fetched or that belongs to the active bundle.
func (m *Machine) part(h hash) ([]byte, bool) {
	if p, ok := m.parts[h]; ok {
		return p, true
	}
	if m.active == nil {
		return nil, false
	}
	p, ok := m.active.parts[h]
	return p, ok
}

// handleParts stores the parts that the manifest lists. Each answer must contain
// at least one new part, which limits the number of answers.
func (m *Machine) handleParts(now time.Time, e PartsArrived) {
	if !m.fetchingFrom(e.From) || m.fetch.manifest == nil {
		return
	}
	added := 0
	for _, part := range e.Parts.GetParts() {
		h := digestOf(part)
		_, known := m.part(h)
		wanted := slices.ContainsFunc(m.fetch.manifest.GetParts(), func(raw []byte) bool { return hash(raw) == h })
		if wanted && !known {
			m.parts[h] = part
			added++
		}
	}
	if added == 0 {
		m.rejectTransfer(now, fmt.Errorf("%w: answer holds no requested part", ErrTransfer))
		return
	}
	m.requestParts(now)
}

// assemble concatenates the parts of the document and tries to adopt it.
func (m *Machine) assemble(now time.Time) {
	f := m.fetch
	signed := make([]byte, 0, f.manifest.GetSize())
	for _, raw := range f.manifest.GetParts() {
		part, _ := m.part(hash(raw))
		if len(signed)+len(part) > MaxDocumentBytes {
			m.rejectTransfer(now, fmt.Errorf("%w: document exceeds %d bytes", ErrTransfer, MaxDocumentBytes))
			return
		}
		signed = append(signed, part...)
	}
	if digestOf(signed) != hash(f.manifest.GetDigest()) {
		m.parts = nil
		m.rejectTransfer(now, fmt.Errorf("%w: document does not match the digest in its manifest", ErrTransfer))
		return
	}
	m.fetch, m.parts = nil, nil
	if !m.tryAdopt(signed, Source{f.from}) {
		m.avoidPeer(now, f.from)
	}
}

// rejectTransfer reports invalid data from a peer and ends the transfer.
func (m *Machine) rejectTransfer(now time.Time, err error) {
	m.stats.Rejected++
	m.emit(Rejected{Source{m.fetch.from}, m.fetch.version, m.peerDigest(m.fetch.from), err})
	m.failFetch(now, m.fetch.from)
}

// peerDigest returns the short digest that a peer announced, or 0.
func (m *Machine) peerDigest(host string) uint64 {
	if p := m.peers[host]; p != nil {
		return p.mark.GetDigest()
	}
	return 0
}

// failFetch ends the transfer from a host and avoids that host for PeerBackoff.
func (m *Machine) failFetch(now time.Time, from string) {
	if !m.fetchingFrom(from) {
		return
	}
	m.stats.FetchesFailed++
	m.fetch = nil
	m.avoidPeer(now, from)
}

// avoidPeer excludes a peer from transfers for PeerBackoff.
func (m *Machine) avoidPeer(now time.Time, host string) {
	if p := m.peers[host]; p != nil {
		p.avoidUntil = now.Add(m.cfg.PeerBackoff)
	}
}

// expireFetch ends a transfer whose pending answer is overdue.
func (m *Machine) expireFetch(now time.Time) {
	if m.fetch != nil && !now.Before(m.fetch.deadline) {
		m.failFetch(now, m.fetch.from)
	}
}
