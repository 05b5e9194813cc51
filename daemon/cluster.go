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

// addCluster makes this daemon's part in the fleet: membership and
// configuration.
func (d *Daemon) addCluster() error {
	s := d.settings
	host := member.Host{Name: s.Host, FailureDomain: s.FailureDomain}
	members := member.DefaultConfig(host, d.incarnation)
	members.Slots = append(members.Slots, loadExtension(), quarantine.Extension())
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
	c.OnBundle(d.bundleInForce)
	c.OnLeaving(func(names []string) { d.router.SetLeaving(names, d.Now()) })
	d.loads.onLeaving = c.ReportUpstream
	d.cluster = c
	return nil
}

// bundleInForce applies a bundle. One that this host cannot run under is
// applied too, since it may end what an older one allowed; the daemon is not
// ready under a bundle that does not name its host.
func (d *Daemon) bundleInForce(b *bundle.Bundle) {
	if err := d.settings.CheckBundle(b); err != nil {
		d.log.Error("bundle and settings disagree", zap.Uint64("version", b.Version), zap.Error(err))
	}
	now := d.Now()
	d.inForceFrom.Store(&now)
	d.apply(b)
}
