package daemon

import (
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/cluster"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/rollout"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/quarantine"
)

// addCluster creates the services for cluster membership and configuration
// rollout.
func (d *Daemon) addCluster() error {
	s := d.settings
	host := member.Host{Name: s.Host, FailureDomain: s.FailureDomain}
	members := member.DefaultConfig(host, d.incarnation)
	members.Slots = append(members.Slots, loadHeartbeatSlot(), quarantine.HeartbeatSlot())
	c, err := cluster.New(cluster.Config{
		Member:  members,
		Rollout: rollout.DefaultConfig(cluster.NewCodec(s.BundleKeys)),
		Platform: platform.NewClient(platform.ClientConfig{
			ConfigService: s.Platform.ConfigService, HostList: s.Platform.HostList, Key: s.Platform.Key,
		}),
		Mux:    d.peerMux,
		Logger: d.log,
	})
	if err != nil {
		return err
	}
	c.OnBundle(d.handleBundle)
	c.OnLeaving(func(names []string) { d.router.SetLeaving(names, d.Now()) })
	d.loads.reportLeaving = c.ReportUpstream
	d.cluster = c
	return nil
}

// handleBundle applies a new bundle. It also applies a bundle that conflicts with
// the settings of this host, since the bundle may revoke what an older one allowed.
// The daemon is not ready under a bundle that does not list its host.
func (d *Daemon) handleBundle(b *bundle.Bundle) {
	if err := d.settings.CheckBundle(b); err != nil {
		d.log.Error("bundle conflicts with the settings of this host", zap.Uint64("version", b.Version), zap.Error(err))
	}
	now := d.Now()
	d.bundleAppliedAt.Store(&now)
	d.apply(b)
}
