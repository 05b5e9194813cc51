package soak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// binary builds the daemon once, with the race detector where the tests have it.
var binary = func() string {
	dir, err := os.MkdirTemp("", "wheatseam-soak-test-")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(dir, "wheatseamd")
	args := []string{"build", "-o", path}
	if os.Getenv("WHEATSEAM_RACE") != "" {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "../cmd/wheatseamd")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	return path
}()

var _ = AfterSuite(func() { _ = os.RemoveAll(filepath.Dir(binary)) })

// A run of CI's length for each of some seeds; a seed that ever failed stays,
// with a line on its cause.
var _ = Describe("a soak", func() {
	DescribeTable("keeps every promise", func(seed uint64) {
		dir, err := os.MkdirTemp("", "wheatseam-soak-test-")
		Expect(err).NotTo(HaveOccurred())
		report, err := soak.Do(context.Background(), soak.Config{
			Binary: binary, Dir: dir, Seed: seed, Duration: 6 * time.Second, Daemons: 3, Callers: 6,
		})
		Expect(err).NotTo(HaveOccurred())
		report.Print(GinkgoWriter)
		Expect(report.Violations).To(BeEmpty(), "logs: "+dir)
		Expect(report.Served).To(BeNumerically(">", 100))
		Expect(os.RemoveAll(dir)).To(Succeed())
	},
		Entry("seed 2", uint64(2)),
		Entry("seed 7", uint64(7)),
	)
})
