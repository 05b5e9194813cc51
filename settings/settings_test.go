package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/doccheck"
	"github.com/wheatseam/wheatseam/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// toPlaintext changes the example into settings without TLS.
var toPlaintext = strings.NewReplacer(`tls:
  cert: tls/entry-1.pem
  key: tls/entry-1-key.pem
  ca: tls/ca.pem
`, "insecure_plaintext: true\n")

func exampleText() string {
	GinkgoHelper()
	raw, err := os.ReadFile("../examples/settings.yaml")
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

func writeSettings(text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("Load", func() {
	It("reads the example, resolves file names relative to it and loads the keys", func() {
		s, err := settings.Load("../examples/settings.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.TLS.Cert).To(Equal("../examples/tls/entry-1.pem"))
		Expect(s.Limits.IdleTimeout).To(Equal(2 * time.Minute))
		Expect(s.BundleKeys).To(HaveLen(1))
	})

	It("applies the defaults", func() {
		text, _, _ := strings.Cut(exampleText(), "limits:")
		s, err := settings.Load(writeSettings(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Limits.MaxBodyBytes).To(BeEquivalentTo(1 << 20))
		Expect(s.Drain.Bound).To(Equal(settings.DefaultDrainBound))
		Expect(s.Log.Level).To(Equal("info"))
	})

	DescribeTable("rejects", func(old, new, want string) {
		Expect(exampleText()).To(ContainSubstring(old))
		_, err := settings.Load(writeSettings(strings.Replace(exampleText(), old, new, 1)))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("an unknown key", "host: entry-1", "hots: entry-1", "line 2: hots: unknown key"),
		Entry("a duration without unit", "bound: 30s", "bound: 30", "drain.bound: want a duration with its unit"),
		Entry("a second document", "listen:", "---\nlisten:", "one YAML document"),
		Entry("a host name as address", "127.0.0.1:7301", "localhost:7301", "listen.callers"),
		Entry("one address twice", "127.0.0.1:7601", "127.0.0.1:7401", "is already used by listen.peers"),
		Entry("one port under any address", "127.0.0.1:7601", "0.0.0.0:7401", "is already used by listen.peers"),
		Entry("missing TLS", "  key: tls/entry-1-key.pem\n", "", "tls: cert, key and ca"),
		Entry("no operator credentials", "  token_file: operator.token", "  token_file: ''", "token_file or client_ca"),
		Entry("an operators' listener without TLS beyond loopback", "127.0.0.1:7601", "10.1.2.3:7601", "if listen.operators is not loopback"),
		Entry("a platform address without scheme", "http://127.0.0.1:7201", "127.0.0.1:7201", "platform.config_service"),
		Entry("no signing key", "  - 11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=", "  []", "at least one"),
		Entry("a missing key file", "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=", "none.pem", "none.pem"),
		Entry("a limit out of range", "max_body_bytes: 1048576", "max_body_bytes: 1", "limits.max_body_bytes"),
		Entry("a zero bound", "bound: 30s", "bound: 0s", "drain.bound"),
		Entry("an unknown level", "level: info", "level: loud", "log.level"),
	)

	It("reports all problems at once", func() {
		text := strings.Replace(exampleText(), "host: entry-1", "host: ''", 1)
		text = strings.Replace(text, "bound: 30s", "bound: -1s", 1)
		_, err := settings.Load(writeSettings(text))
		Expect(err).To(MatchError(And(ContainSubstring("host: is required"), ContainSubstring("drain.bound"))))
	})

	It("allows plaintext only if its own and the bundle's peer addresses are loopback", func() {
		text := toPlaintext.Replace(exampleText())
		s, err := settings.Load(writeSettings(text))
		Expect(err).NotTo(HaveOccurred())

		raw, err := os.ReadFile("../examples/demo.yaml")
		Expect(err).NotTo(HaveOccurred())
		b, err := bundle.Parse(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.CheckBundle(b)).To(Succeed())

		b.Hosts[2].PeerAddress = "10.1.2.3:7403"
		Expect(s.CheckBundle(b)).To(MatchError(ContainSubstring("not loopback")))

		_, err = settings.Load(writeSettings(strings.Replace(text, "127.0.0.1:7401", "0.0.0.0:7401", 1)))
		Expect(err).To(MatchError(ContainSubstring("not loopback")))
		_, err = settings.Load(writeSettings(exampleText() + "\ninsecure_plaintext: true\n"))
		Expect(err).To(MatchError(ContainSubstring("cannot be combined with tls")))
	})

	It("overrides the file by flags and checks the result", func() {
		load := func(args ...string) (*settings.Settings, error) {
			var flags settings.Flags
			fs := flag.NewFlagSet("wheatseamd", flag.ContinueOnError)
			flags.Register(fs)
			Expect(fs.Parse(append([]string{"-settings", "../examples/settings.yaml"}, args...))).To(Succeed())
			return flags.Load()
		}
		s, err := load("-host", "entry-9", "-failure-domain", "lima-c", "-listen-callers", "127.0.0.1:0",
			"-listen-peers", "127.0.0.2:0", "-listen-operators", "127.0.0.3:0", "-log-level", "debug")
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{s.Host, s.FailureDomain, s.Log.Level}).To(Equal([]string{"entry-9", "lima-c", "debug"}))
		Expect(s.Listen).To(Equal(settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.2:0", Operators: "127.0.0.3:0"}))

		s, err = load()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Host).To(Equal("entry-1"))
		_, err = load("-listen-callers", "127.0.0.1:7401")
		Expect(err).To(MatchError(ContainSubstring("is already used by")))
	})

	It("rejects a bundle without the host or with another failure domain for it", func() {
		s, err := settings.Load("../examples/settings.yaml")
		Expect(err).NotTo(HaveOccurred())
		b := &bundle.Bundle{Hosts: []bundle.Host{{Name: "entry-1", FailureDomain: "lima-b"}}}
		Expect(s.CheckBundle(b)).To(MatchError(ContainSubstring("failure_domain")))
		b.Hosts[0].Name = "entry-9"
		Expect(s.CheckBundle(b)).To(MatchError(ContainSubstring("not in the bundle")))
	})
})

var _ = Describe("docs/CONFIGURATION.md", func() {
	It("lists exactly the keys of the settings", func() {
		listed, err := doccheck.DocumentedKeys("../docs/CONFIGURATION.md", "## Settings")
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(ConsistOf(doccheck.Keys(settings.Settings{})))
	})
})
