package daemon

import (
	"fmt"

	"github.com/wheatseam/wheatseam/peer"
)

// openPeers opens the transport to and the listener for peer daemons.
func (d *Daemon) openPeers() error {
	s := d.settings
	transport, err := peer.NewTransport(peer.Config{
		Host:        s.Host,
		Incarnation: d.incarnation,
		Listen:      s.Listen.Peers,
		TLS:         peer.TLSFiles{CertFile: s.TLS.Cert, KeyFile: s.TLS.Key, CAFile: s.TLS.CA},
		Plaintext:   s.InsecurePlaintext,
		Resolve:     d.cluster.Resolve,
		Mux:         d.peerMux,
		Logger:      d.log,
		Metrics:     d.metrics,
	})
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.peerTransport = transport
	return nil
}
