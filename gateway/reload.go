package gateway

import (
	"reflect"

	"go.uber.org/zap"
)

// Settings returns the active settings; they must not be modified.
func (g *Gateway) Settings() *Settings { return g.settings.Load() }

// Reload applies changed settings. Settings that a running process cannot change keep their
// old value, which the log line reports as needs_restart.
func (g *Gateway) Reload(next *Settings) {
	old := g.settings.Load()
	merged := *next
	// Names and listeners are fixed at the start of the process.
	merged.Host, merged.Name, merged.FailureDomain = old.Host, old.Name, old.FailureDomain
	merged.Listen, merged.Store = old.Listen, old.Store
	merged.Limits, merged.Stages = old.Limits, old.Stages
	if reflect.DeepEqual(&merged, old) && reflect.DeepEqual(next, old) {
		return
	}
	g.settings.Store(&merged)
	g.fleet.SetSeeds(merged.Seeds)
	g.log.Info("settings reloaded", zap.Strings("seeds", merged.Seeds), zap.Duration("bound", merged.Bounds.shortest()),
		zap.Duration("grace", merged.Drain.Grace), zap.String("log_level", merged.Log.Level),
		zap.Bool("needs_restart", !reflect.DeepEqual(next, &merged)))
}
