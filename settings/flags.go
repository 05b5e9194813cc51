package settings

import "fmt"

// Flags are the command-line flags of a daemon: where its settings are, and
// the values that one host or one try-out usually changes.
type Flags struct {
	path string
	// overrides are the values given on the command line; empty ones leave
	// the file's.
	overrides struct {
		host, failureDomain, callers, peers, operators, logLevel string
	}
}

// FlagSet is the part of flag.FlagSet and pflag.FlagSet that Add needs.
type FlagSet interface {
	StringVar(p *string, name, value, usage string)
}

// Add defines the flags on fs.
func (f *Flags) Add(fs FlagSet) {
	o := &f.overrides
	fs.StringVar(&f.path, "settings", "settings.yaml", "the daemon's settings file")
	fs.StringVar(&o.host, "host", "", "host instead of the file's")
	fs.StringVar(&o.failureDomain, "failure-domain", "", "failure_domain instead of the file's")
	fs.StringVar(&o.callers, "listen-callers", "", "listen.callers instead of the file's")
	fs.StringVar(&o.peers, "listen-peers", "", "listen.peers instead of the file's")
	fs.StringVar(&o.operators, "listen-operators", "", "listen.operators instead of the file's")
	fs.StringVar(&o.logLevel, "log-level", "", "log.level instead of the file's")
}

// Load reads the settings file, puts the overrides in and checks the result.
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
	if err := s.Finish(); err != nil {
		return nil, fmt.Errorf("settings %s: %w", f.path, err)
	}
	return s, nil
}

func override(target *string, value string) {
	if value != "" {
		*target = value
	}
}
