package proofs

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against planted faults that no longer apply, since the code that they change has moved, or
// that do not name the check that must see them. scripts/planted.sh runs the checks.
func TestPlantedFaultsApply(t *testing.T) {
	g := NewWithT(t)
	patches, err := filepath.Glob("planted/*.patch")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(patches).NotTo(BeEmpty())
	for _, patch := range patches {
		text, err := os.ReadFile(patch)
		g.Expect(err).NotTo(HaveOccurred())
		for _, field := range []string{"# rule: ", "# takes out: ", "# check: go test ./"} {
			g.Expect(strings.Count("\n"+string(text), "\n"+field)).To(Equal(1), "%s: %q", patch, field)
		}
		check := exec.Command("git", "apply", "--check", filepath.Join("proofs", patch))
		check.Dir = ".."
		out, err := check.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), "%s: %s", patch, out)
	}
}
