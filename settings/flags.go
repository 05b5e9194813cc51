package settings

import "fmt"

// Flags are the command-line flags of a daemon: the path of its settings file, and
// overrides for the values that most often differ between hosts or test runs.
type Flags struct {
	path string
	// overrides are the values given on the command line. Empty ones do not
	// override the file.
	overrides struct {
		host, failureDomain, callers, peers, operators, logLevel string
	}
}

// FlagSet is the part of flag.FlagSet and pflag.FlagSet that Register needs.
type FlagSet interface {
	StringVar(p *string, name, value, usage string)
}

// Register defines the flags on fs.
func (f *Flags) Register(fs FlagSet) {
	o := &f.overrides
	fs.StringVar(&f.path, "settings", "settings.yaml", "the daemon's settings file")
	fs.StringVar(&o.host, "host", "", "override host of the settings file")
	fs.StringVar(&o.failureDomain, "failure-domain", "", "override failure_domain of the settings file")
	fs.StringVar(&o.callers, "listen-callers", "", "override listen.callers of the settings file")
	fs.StringVar(&o.peers, "listen-peers", "", "override listen.peers of the settings file")
	fs.StringVar(&o.operators, "listen-operators", "", "override listen.operators of the settings file")
	fs.StringVar(&o.logLevel, "log-level", "", "override log.level of the settings file")
}

// Load reads the settings file, applies the overrides, checks the result and loads
// the public keys.
func (f *Flags) Load() (*Settings, error) {
	s, err := Read(f.path)
	if err != nil {
		return nil, err
	}
	o := &f.overrides
	override(&s.Host, o.host)
	override(&s.FailureDomain, o.failureDomain)
	override(&s.Listen.Callers, o.callers)
	override(&s.Listen.Peers, o.peers)
	override(&s.Listen.Operators, o.operators)
	override(&s.Log.Level, o.logLevel)
	if err := s.CheckAndLoadKeys(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", f.path, err)
	}
	return s, nil
}

func override(target *string, value string) {
	if value != "" {
		*target = value
	}
}
