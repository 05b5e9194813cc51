package daemon

import (
	"time"

	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/orderer"
)

// ordererConnections bounds the connections to one engine for orders.
const ordererConnections = 2

// addOrderer makes the part that gives orders to engines.
func (d *Daemon) addOrderer() {
	d.orderer = orderer.New(orderer.Config{
		Host: d.settings.Host, Engines: engine.NewClient(ordererConnections, time.Now),
		Living: d.living, Now: d.Now, Log: d.log,
	})
	d.appliers = append(d.appliers, d.orderer)
}

// living names the hosts believed to live.
func (d *Daemon) living() map[string]bool {
	all := make(map[string]bool)
	for _, m := range d.cluster.Members() {
		all[m.Host.Name] = m.Living()
	}
	return all
}
