// Package fleetfiles writes the files that scripts/fleet.sh needs to start a fleet for
// measurements on loopback: a bundle with free ports, signed with a newly generated
// key, the settings of every entry host, the host list, API keys and the list of
// processes.
package fleetfiles

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/settings"
)

// Names and modes of the files that Write creates.
const (
	FileBundle      = "bundle.yaml"
	FileSigned      = "bundle.signed.yaml"
	FilePublicKey   = "bundle.pub"
	FileHostList    = "hosts.json"
	FileToken       = "operator.token"
	FileAPIKeys     = "keys.yaml"
	FileProcesses   = "processes"
	FileEnvironment = "fleet.env"
	directoryMode   = 0o755
	fileMode        = 0o644
	secretFileMode  = 0o600
)

// Config describes the fleet.
type Config struct {
	// Bundle is a valid bundle; Write does not modify it.
	Bundle *bundle.Bundle
	// Policy replaces the bundle's policy unless it is empty.
	Policy bundle.Policy
	// Dir is the output directory; it is created if needed.
	Dir string
	// StandInFlags are additional flags of `standin fleet`.
	StandInFlags []string
}

// fleetWriter holds the state of Write.
type fleetWriter struct {
	Config
	bundle          bundle.Bundle
	ports           *reservedPorts
	platformAddress string
	controlAddress  string
	entryHosts      []entryHost
}

// entryHost is an entry host with the addresses that its daemon listens on.
type entryHost struct {
	bundle.Host
	callersAddress, operatorsAddress string
}

// Write writes all files of the fleet.
func Write(cfg Config) error {
	p, err := reservePorts(countPorts(cfg.Bundle))
	if err != nil {
		return err
	}
	f := &fleetWriter{Config: cfg, bundle: *cfg.Bundle, ports: p}
	f.assignAddresses()
	if err := os.MkdirAll(cfg.Dir, directoryMode); err != nil {
		return err
	}
	return errors.Join(f.writeKeys(), f.writeBundle(), f.writeHostList(), f.writeSettings(), f.writeProcesses())
}

// countPorts returns the number of listeners of a fleet: three for each host (callers,
// peers, operators), one for each upstream, and one each for the platform and the
// control interface of the stand-ins.
func countPorts(b *bundle.Bundle) int {
	n := 3*len(b.Hosts) + 2
	for _, p := range b.Pools {
		n += len(p.Upstreams)
	}
	return n
}

// reservedPorts holds addresses that were free at the time of reservation.
type reservedPorts struct{ addresses []string }

// reservePorts lets the kernel choose n free ports. It keeps all of them open until the
// last one is chosen, so that they differ, and then closes them.
func reservePorts(n int) (*reservedPorts, error) {
	p := &reservedPorts{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("reserve port: %w", err)
		}
		defer l.Close()
		p.addresses = append(p.addresses, l.Addr().String())
	}
	return p, nil
}

func (p *reservedPorts) next() string {
	a := p.addresses[0]
	p.addresses = p.addresses[1:]
	return a
}

// assignAddresses assigns a reserved address to every listener. It also applies Policy
// and removes the views from the bundle.
func (f *fleetWriter) assignAddresses() {
	f.platformAddress, f.controlAddress = f.ports.next(), f.ports.next()
	if f.Policy != "" {
		f.bundle.Policy = f.Policy
	}
	f.bundle.Hosts, f.bundle.Views = nil, nil
	for _, h := range f.Config.Bundle.Hosts {
		h.PeerAddress = f.ports.next()
		f.bundle.Hosts = append(f.bundle.Hosts, h)
		f.entryHosts = append(f.entryHosts, entryHost{Host: h, callersAddress: f.ports.next(), operatorsAddress: f.ports.next()})
	}
	f.bundle.Pools = nil
	for _, p := range f.Config.Bundle.Pools {
		upstreams := p.Upstreams
		p.Upstreams = nil
		for _, u := range upstreams {
			u.Address = f.ports.next()
			p.Upstreams = append(p.Upstreams, u)
		}
		f.bundle.Pools = append(f.bundle.Pools, p)
	}
}

func (f *fleetWriter) write(name string, text []byte, mode os.FileMode) error {
	return os.WriteFile(filepath.Join(f.Dir, name), text, mode)
}

// writeKeys generates an API key for every customer, because a bundle contains only
// the hashes of keys, and the token of the operators.
func (f *fleetWriter) writeKeys() error {
	keys := struct {
		Keys map[string]string `yaml:"keys"`
	}{map[string]string{}}
	f.bundle.Customers = nil
	for _, c := range f.Config.Bundle.Customers {
		key := rand.Text()
		keys.Keys[c.Name] = key
		hash := sha256.Sum256([]byte(key))
		c.KeyHashes = []string{hex.EncodeToString(hash[:])}
		f.bundle.Customers = append(f.bundle.Customers, c)
	}
	text, err := yaml.Marshal(keys)
	if err != nil {
		return err
	}
	return errors.Join(f.write(FileAPIKeys, text, secretFileMode), f.write(FileToken, []byte(rand.Text()+"\n"), secretFileMode))
}

func (f *fleetWriter) writeBundle() error {
	text, err := yaml.Marshal(f.bundle)
	if err != nil {
		return err
	}
	if _, err := bundle.Parse(text); err != nil {
		return fmt.Errorf("bundle with assigned addresses: %w", err)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	key, err := bundle.MarshalPublicKey(public)
	if err != nil {
		return err
	}
	return errors.Join(
		f.write(FileBundle, text, fileMode),
		f.write(FileSigned, bundle.Sign(text, private), fileMode),
		f.write(FilePublicKey, key, fileMode),
	)
}

func (f *fleetWriter) writeHostList() error {
	type host struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Role    string `json:"role"`
		State   string `json:"state"`
	}
	list := struct {
		Revision int    `json:"revision"`
		Hosts    []host `json:"hosts"`
	}{Revision: 1}
	for _, h := range f.bundle.Hosts {
		list.Hosts = append(list.Hosts, host{h.Name, h.PeerAddress, "entry", "live"})
	}
	for _, p := range f.bundle.Pools {
		for _, u := range p.Upstreams {
			list.Hosts = append(list.Hosts, host{u.Name, u.Address, "upstream", "live"})
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return f.write(FileHostList, text, fileMode)
}

// writeSettings writes HOST.settings.yaml for every host. The daemons do not use TLS,
// because all traffic stays on loopback.
func (f *fleetWriter) writeSettings() error {
	for _, h := range f.entryHosts {
		s := settings.Settings{
			Host: h.Name, FailureDomain: h.FailureDomain,
			Listen:            settings.Listen{Callers: h.callersAddress, Peers: h.PeerAddress, Operators: h.operatorsAddress},
			InsecurePlaintext: true,
			Operators:         settings.Operators{TokenFile: FileToken},
			Platform:          settings.Platform{ConfigService: "http://" + f.platformAddress, HostList: "http://" + f.platformAddress, Key: settings.DefaultBundleKey},
			BundlePublicKeys:  []string{FilePublicKey},
			Limits: settings.Limits{
				MaxBodyBytes: settings.DefaultMaxBodyBytes, MaxHeaderBytes: settings.DefaultMaxHeaderBytes,
				ReadHeaderTimeout: settings.DefaultReadHeaderTimeout, ReadTimeout: settings.DefaultReadTimeout,
				IdleTimeout:    settings.DefaultIdleTimeout,
				MaxConnections: settings.DefaultMaxConnections, MaxHeaderMemory: settings.DefaultMaxHeaderMemory, WriteTimeout: settings.DefaultWriteTimeout,
			},
			Drain: settings.Drain{Bound: settings.DefaultDrainBound},
			Log:   settings.Log{Level: "warn"},
		}
		text, err := yaml.Marshal(s)
		if err != nil {
			return err
		}
		if err := f.write(settingsFile(h), text, fileMode); err != nil {
			return err
		}
	}
	return nil
}

func settingsFile(h entryHost) string { return h.Name + ".settings.yaml" }

// writeProcesses writes one line for each process: its name, a tab, and the command,
// which must be run in the parent directory of bin/. It also writes the environment
// file, which sets the addresses as shell variables.
func (f *fleetWriter) writeProcesses() error {
	in := func(name string) string { return filepath.Join(f.Dir, name) }
	flags := ""
	if len(f.StandInFlags) > 0 {
		flags = " " + strings.Join(f.StandInFlags, " ")
	}
	var out, callers, operators strings.Builder
	fmt.Fprintf(&out, "platform\tbin/standin platform --listen %s --bundle %s --hosts %s\n", f.platformAddress, in(FileSigned), in(FileHostList))
	fmt.Fprintf(&out, "standins\tbin/standin fleet --bundle %s --control %s%s\n", in(FileBundle), f.controlAddress, flags)
	for i, h := range f.entryHosts {
		fmt.Fprintf(&out, "%s\tbin/wheatseamd --settings %s\n", h.Name, in(settingsFile(h)))
		if i > 0 {
			callers.WriteByte(',')
			operators.WriteByte(',')
		}
		callers.WriteString(h.callersAddress)
		operators.WriteString(h.operatorsAddress)
	}
	environment := fmt.Sprintf("CALLERS=%s\nOPERATORS=%s\nCONTROL=%s\nPLATFORM=%s\n", callers.String(), operators.String(), f.controlAddress, f.platformAddress)
	return errors.Join(f.write(FileProcesses, []byte(out.String()), fileMode), f.write(FileEnvironment, []byte(environment), fileMode))
}
