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

// TestMain removes the binary after all tests: those after the suite need it too.
func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(filepath.Dir(binary)) // a folder of temporary files
	os.Exit(code)
}

// play plays a soak that is to keep every promise.
func play(seed uint64, daemons int, duration time.Duration) {
	dir, err := os.MkdirTemp("", "wheatseam-soak-test-")
	Expect(err).NotTo(HaveOccurred())
	report, err := soak.Execute(context.Background(), soak.Config{
		Binary: binary, Dir: dir, Seed: seed, Duration: duration, Daemons: daemons, Callers: 2 * daemons,
	})
	Expect(err).NotTo(HaveOccurred())
	report.Print(GinkgoWriter)
	Expect(report.Violations).To(BeEmpty(), "logs: "+dir)
	Expect(report.Served).To(BeNumerically(">", 100))
	Expect(os.RemoveAll(dir)).To(Succeed())
}

// A run of CI's length for each of some seeds; a seed that ever failed stays,
// with a line on its cause.
var _ = Describe("a soak", func() {
	// The daemons and the duration decide the schedule of a seed's faults.
	DescribeTable("keeps every promise", play,
		Entry("seed 2", uint64(2), 3, 6*time.Second),
		Entry("seed 7", uint64(7), 3, 6*time.Second),
		// Two faults of the soak restarted one daemon at the same time, so that
		// it ran twice.
		Entry("seed 100", uint64(100), 4, 8*time.Second),
		Entry("seed 128", uint64(128), 4, 8*time.Second),
		Entry("seed 140", uint64(140), 4, 8*time.Second),
		Entry("seed 151", uint64(151), 4, 8*time.Second),
		// A planner that stood still twice gave results up that the next planner had
		// given up too, or the other way round: a replica was told twice.
		Entry("seed 52018", uint64(52018), 4, 8*time.Second),
		// A planner that stood still had a call that gives results up made again
		// beside its answer.
		Entry("seed 32007", uint64(32007), 4, 8*time.Second),
	)
})
