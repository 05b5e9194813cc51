package daemon

import (
	"sync/atomic"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/peer"
)

// hostBook resolves fellow daemons by the bundle in force. It implements
// applier; reads take no lock.
type hostBook struct {
	page atomic.Pointer[hostPage]
}

// hostPage is the immutable list of one bundle.
type hostPage struct {
	names     []string
	addresses map[string]string
}

// Apply implements applier.
func (h *hostBook) Apply(b *bundle.Bundle) {
	p := &hostPage{addresses: make(map[string]string, len(b.Hosts))}
	for _, host := range b.Hosts {
		p.names = append(p.names, host.Name)
		p.addresses[host.Name] = host.PeerAddress
	}
	h.page.Store(p)
}

// resolve is a peer.Resolver.
func (h *hostBook) resolve(host string) (string, bool) {
	p := h.page.Load()
	if p == nil {
		return "", false
	}
	address, ok := p.addresses[host]
	return address, ok
}

// names lists the hosts of the bundle in force.
func (h *hostBook) names() []string {
	if p := h.page.Load(); p != nil {
		return p.names
	}
	return nil
}

// openPeers listens for fellow daemons.
func (d *Daemon) openPeers() error {
	s := d.settings
	transport, err := peer.NewTransport(peer.Config{
		Host:        s.Host,
		Incarnation: d.incarnation,
		Listen:      s.Listen.Peers,
		TLS:         peer.TLSFiles{CertFile: s.TLS.Cert, KeyFile: s.TLS.Key, CAFile: s.TLS.CA},
		Plaintext:   s.InsecurePlaintext,
		Resolve:     d.hosts.resolve,
		Mux:         d.peerMux,
		Logger:      d.log,
		Metrics:     d.metrics,
	})
	if err != nil {
		return err
	}
	d.peers = transport
	return nil
}
