package fleetfiles_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/fleetfiles"
	"github.com/wheatseam/wheatseam/settings"
)

func TestFleetFiles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetfiles")
}

func example() *bundle.Bundle {
	GinkgoHelper()
	text, err := os.ReadFile("../../examples/demo.yaml")
	Expect(err).NotTo(HaveOccurred())
	b, err := bundle.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("Write", func() {
	It("writes a signed bundle with the given policy and valid settings", func() {
		dir := GinkgoT().TempDir()
		b := example()
		before := b.Hosts[0].PeerAddress
		Expect(fleetfiles.Write(fleetfiles.Config{
			Bundle: b, Policy: bundle.PolicyRoundRobin, Dir: dir, StandInFlags: []string{"--time-scale", "0.1"},
		})).To(Succeed())
		Expect(b.Hosts[0].PeerAddress).To(Equal(before))
		Expect(b.Policy).To(Equal(bundle.PolicyAdaptive))

		s, err := settings.Load(filepath.Join(dir, "entry-2.settings.yaml"))
		Expect(err).NotTo(HaveOccurred())
		signed, err := os.ReadFile(filepath.Join(dir, fleetfiles.FileSigned))
		Expect(err).NotTo(HaveOccurred())
		written, err := bundle.VerifyAndParse(signed, s.BundleKeys)
		Expect(err).NotTo(HaveOccurred())
		Expect(written.Policy).To(Equal(bundle.PolicyRoundRobin))
		Expect(written.Claims).To(Equal(b.Claims))
		Expect(written.Pipelines).To(Equal(b.Pipelines))
		Expect(written.Hosts[1].PeerAddress).To(Equal(s.Listen.Peers))

		addresses := map[string]bool{}
		for _, p := range written.Pools {
			for _, u := range p.Upstreams {
				addresses[u.Address] = true
			}
		}
		Expect(addresses).To(HaveLen(12))
		processes, err := os.ReadFile(filepath.Join(dir, fleetfiles.FileProcesses))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(processes), "\n")).To(Equal(5))
		Expect(string(processes)).To(ContainSubstring("--time-scale 0.1"))
	})
})
