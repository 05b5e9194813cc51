package gateway_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/gateway"
	"github.com/wheatseam/wheatseam/internal/doccheck"
)

// renderChanged is the template as the platform renders it, with one value changed.
func renderChanged(from, to string) string {
	return replaceOnce(render(map[string]string{"bounds.warmup_overage": "1.5", "bounds.warmup_slack": "5"}), from, to)
}

// render renders the template; more are values that only some deployments have.
func render(more map[string]string) string {
	raw, err := os.ReadFile("../deploy/settings.yaml.tmpl")
	Expect(err).NotTo(HaveOccurred())
	text := string(raw)
	sections := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)
	text = sections.ReplaceAllString(text, `{failure_domain: "x", region: "r"}`)
	values := map[string]string{
		"listen.admin": "10.1.0.41:8628", "listen.public_addr": "10.1.0.41:8625", "listen.readiness": "10.1.0.41:8621",
		"node_name": "edge-1", "zone": "x", "ip": "10.1.0.41", "seed_nodes|json": `["10.1.0.41:8628","10.2.0.25:8628"]`,
		"platform.address": "10.200.1.7:8624", "bounds.drain_ms": "2000", "bounds.config_ms": "2000", "bounds.grace_s": "8",
		"bounds.retry_ratio": "0.2", "bounds.retry_slack": "54", "bounds.retry_window_s": "10",
		"limits.cpus": "1", "limits.cpu_quota": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"bootstrap|json": "false",
	}
	maps.Copy(values, more)
	text = absentSection.ReplaceAllStringFunc(text, func(section string) string {
		parts := absentSection.FindStringSubmatch(section)
		if _, there := values[parts[1]]; there {
			return ""
		}
		return parts[2]
	})
	for _, name := range []string{"bounds.warmup_overage", "bounds.warmup_slack"} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", more[name])
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	Expect(text).NotTo(ContainSubstring("{{"), "a placeholder that the test does not fill in")
	return text
}

// absentSection matches a section of the template that is rendered where a value is
// missing.
var absentSection = regexp.MustCompile(`\{\{\^([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)

func replaceOnce(text, from, to string) string {
	if from != "" {
		Expect(text).To(ContainSubstring(from))
	}
	return strings.Replace(text, from, to, 1)
}

func load(text string) (*gateway.Settings, error) {
	path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return gateway.LoadSettings(path)
}

var _ = Describe("settings", func() {
	It("are what the deploy template renders", func() {
		s, err := load(renderChanged("", ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Seeds).To(HaveLen(2))
		Expect(s.Limits.ProcessorShare).To(Equal(0.4))
		Expect(s.Regions).To(HaveLen(1))
		Expect(s.Cold).To(Equal(gateway.Cold{Overage: 1.5, Slack: 5}))
		Expect(s.Stages.FairShares).To(BeTrue())
		Expect(s.Store).To(Equal(gateway.Store{Address: "10.200.1.7:8624"}))
		Expect(s.FirstStart).To(BeFalse())
	})

	DescribeTable("tell the first start of a deployment", func(values map[string]string, want bool) {
		s, err := load(render(values))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.FirstStart).To(Equal(want))
	},
		Entry("first start", map[string]string{"bootstrap": "true", "bootstrap|json": "true"}, true),
		Entry("restart", map[string]string{"bootstrap|json": "false"}, false),
		Entry("the deployment does not say", map[string]string{"bootstrap|json": ""}, false),
	)

	It("use the configured limit of cold replicas where the deployment sets no overage or slack", func() {
		s, err := load(render(nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Cold).To(Equal(gateway.Cold{Overage: 1}))
	})

	DescribeTable("are refused with the path of the fault", func(from, to, want string) {
		_, err := load(renderChanged(from, to))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown key", "drain:", "dran:", "dran"),
		Entry("no overage", "overage: 1.5", "overage: 0", "overage"),
		Entry("a slack below 0", "slack: 5", "slack: -5", "slack"),
		Entry("no address", "10.200.1.7:8624", "store", "store.address"),
		Entry("no time", `grace: "8s"`, `grace: "8"`, "drain.grace"),
		Entry("no grace", `grace: "8s"`, `grace: "0s"`, "drain.grace"),
		Entry("no seed's address", "10.2.0.25:8628", "edge-2", "seeds[1]"),
		Entry("no failure domain", "failure_domain: \"x\"\nlisten", "failure_domain: \"\"\nlisten", "failure_domain"),
		Entry("no switch", "fair_shares: true", "fair_shares: maybe", "fair_shares"),
		Entry("no processor", "processors: 1", "processors: 0", "limits.processors"),
		Entry("negative descriptors", "descriptors: 4100", "descriptors: -1", "limits.descriptors"),
		Entry("negative connections", "descriptors: 4100", "connections: -1", "limits.connections"),
		Entry("negative write timeout", "descriptors: 4100", `write_timeout: "-1s"`, "limits.write_timeout"),
		Entry("negative budget", "ratio: 0.2", "ratio: -1", "budget"),
	)

	It("are all listed in docs/CONFIGURATION.md, and no others", func() {
		listed, err := doccheck.DocumentedKeys("../docs/CONFIGURATION.md", "## Gateway settings")
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(ConsistOf(doccheck.Keys(gateway.Settings{})))
	})

	It("can be reloaded; what a running process cannot change stays", func() {
		s, err := load(renderChanged("", ""))
		Expect(err).NotTo(HaveOccurred())
		s.Listen.Peers, s.Host = address(7406), address(7407)
		g, err := gateway.New(s, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		next := *s
		next.Drain.Grace *= 2
		next.Host = "10.9.9.9:1"
		g.Reload(&next)
		Expect(g.Settings().Drain.Grace).To(Equal(next.Drain.Grace))
		Expect(g.Settings().Host).To(Equal(s.Host))
	})
})
