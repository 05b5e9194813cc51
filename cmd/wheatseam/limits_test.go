package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/capacity"
)

var _ = Describe("wheatseam limits", func() {
	limits := func(args ...string) (code int, out, errors string) {
		var stdout, stderr bytes.Buffer
		root := newRootCommand()
		root.SetOut(&stdout)
		root.SetArgs(append([]string{"limits"}, args...))
		code = run(root, &stderr)
		return code, stdout.String(), stderr.String()
	}

	// Guards against output that leaves out that the limits are optimistic, or what binds when.
	It("prints tables, or JSON, with the assumptions", func() {
		code, out, _ := limits("--file", "../../examples/limits-competing.yaml")
		Expect(code).To(Equal(exitOK))
		for _, a := range capacity.Assumptions {
			Expect(out).To(ContainSubstring(a))
		}
		Expect(out).To(MatchRegexp(`second +calls +0\.\d+ +\d+ +1\.125`))

		code, out, _ = limits("--json", "--file", "../../examples/limits-uneven.yaml")
		Expect(code).To(Equal(exitOK))
		var l capacity.Limits
		Expect(json.Unmarshal([]byte(out), &l)).To(Succeed())
		Expect(l.Assumptions).To(Equal(capacity.Assumptions))
		Expect(l.Seconds).To(HaveLen(24))
	})

	// Guards against bad input that is accepted, or of which only the first fault is told.
	It("exits with status 2 and every fault of bad input", func() {
		file := filepath.Join(GinkgoT().TempDir(), "limits.yaml")
		Expect(os.WriteFile(file, []byte("period: 0s\nbursts: [{factor: 0, from: 0s, for: 1s}]\n"), 0o600)).To(Succeed())
		code, out, errors := limits("--file", file)
		Expect(code).To(Equal(exitError))
		Expect(out).To(BeEmpty())
		Expect(errors).To(And(ContainSubstring("line 1: period: "), ContainSubstring("kinds: "), ContainSubstring("line 2: bursts[0].factor: ")))
		code, _, errors = limits("--file", file+".missing")
		Expect(code).To(Equal(exitError))
		Expect(errors).To(ContainSubstring("no such file"))
	})
})
