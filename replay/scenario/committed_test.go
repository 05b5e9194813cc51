package scenario_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/replay/scenario"
	"github.com/wheatseam/wheatseam/replay/trace"
	"github.com/wheatseam/wheatseam/replay/verdict"
)

// maxTraceBytes limits the size of a trace in the repository.
const maxTraceBytes = 400 << 10

// exampleBundle returns the example bundle of a deployment.
func exampleBundle(deployment string) *bundle.Bundle {
	GinkgoHelper()
	files, err := filepath.Glob("../../examples/*.yaml")
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		if b, err := bundle.Parse(text); err == nil && b.Deployment == deployment {
			return b
		}
	}
	Fail("no example bundle of deployment " + deployment)
	return nil
}

var _ = Describe("the traces in the repository", func() {
	It("have valid outcomes files", func() {
		files, err := filepath.Glob("../../traces/outcomes/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		for _, file := range append(files, "../../examples/demo-outcomes.yaml") {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			o, err := verdict.Parse(text)
			Expect(err).NotTo(HaveOccurred(), file)
			if o.Trace != "" {
				Expect(scenario.Names()).To(ContainElement(o.Trace), file)
			}
		}
	})

	It("are small and equal the output of the program in their header (scripts/traces.sh)", func() {
		files, err := filepath.Glob("../../traces/*.jsonl")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">=", 8))
		for _, file := range append(files, "../../examples/demo.jsonl") {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(text)).To(BeNumerically("<", maxTraceBytes), file)
			t, err := trace.Parse(strings.NewReader(string(text)))
			Expect(err).NotTo(HaveOccurred(), file)

			var name, duration, deployment string
			var o scenario.Options
			_, err = fmt.Sscanf(t.Header.Program, "wheatseam trace make %s --seed %d --load %g --duration %s --patience %g (bundle %s",
				&name, &o.Seed, &o.Load, &duration, &o.DeadlineFactor, &deployment)
			Expect(err).NotTo(HaveOccurred(), t.Header.Program)
			o.Duration, err = time.ParseDuration(duration)
			Expect(err).NotTo(HaveOccurred())
			o.Bundle = exampleBundle(deployment)
			Expect(encode(create(name, o)) == string(text)).To(BeTrue(), file+" differs from the output of its program")
		}
	})
})
