package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/problem"
)

const demoFile = "../../examples/demo.yaml"

// commandResult is the exit code and output of a command.
type commandResult struct {
	code           int
	stdout, stderr string
}

func runCommand(stdin string, args ...string) commandResult {
	GinkgoHelper()
	var stdout, stderr bytes.Buffer
	root := newRootCommand()
	root.SetIn(strings.NewReader(stdin))
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(args)
	return commandResult{run(root, &stderr), stdout.String(), stderr.String()}
}

// writeDemoWith writes the demo bundle with replacements to a file and returns its
// path.
func writeDemoWith(replace ...string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(demoFile)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "bundle.yaml")
	text := strings.NewReplacer(replace...).Replace(string(raw))
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("wheatseam bundle", func() {
	It("generates keys, signs a bundle and verifies it", func() {
		dir := GinkgoT().TempDir()
		keys, signed := filepath.Join(dir, "ops"), filepath.Join(dir, "signed.yaml")
		Expect(runCommand("", "bundle", "keygen", "--out", keys).code).To(Equal(exitOK))
		info, err := os.Stat(keys + ".key")
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600))
		Expect(runCommand("", "bundle", "keygen", "--out", keys).code).To(Equal(exitError), "existing keys are not overwritten")

		Expect(runCommand("", "bundle", "sign", "--key", keys+".key", "--out", signed, demoFile).code).To(Equal(exitOK))
		Expect(runCommand("", "bundle", "check", "--key", keys+".pub", signed).code).To(Equal(exitOK))
		Expect(runCommand("", "bundle", "check", "--key", keys+".pub", demoFile).stderr).To(ContainSubstring("no signature"))

		Expect(runCommand("", "bundle", "keygen", "--force", "--out", keys).code).To(Equal(exitOK))
		Expect(runCommand("", "bundle", "check", "--key", keys+".pub", signed).code).To(Equal(exitError))
	})

	It("reports every problem and refuses to sign an invalid bundle", func() {
		file := writeDemoWith("pool: encoders", "pool: nowhere", "group_size: 3", "group_size: 4")
		r := runCommand("", "bundle", "check", file)
		Expect(r.code).To(Equal(exitNegative))
		Expect(r.stdout).To(MatchRegexp(`(?s)LINE +PATH +PROBLEM\n20 +claims\.group_size .*\n75 +pipelines\[0\]\.stages\[0\]\.pool `))

		var listed []bundle.Problem
		r = runCommand("", "bundle", "check", "-o", "json", file)
		Expect(json.Unmarshal([]byte(r.stdout), &listed)).To(Succeed())
		Expect(listed).To(HaveLen(2))

		keys := filepath.Join(GinkgoT().TempDir(), "ops")
		Expect(runCommand("", "bundle", "keygen", "--out", keys).code).To(Equal(exitOK))
		r = runCommand("", "bundle", "sign", "--key", keys+".key", file)
		Expect(r.code).To(Equal(exitNegative))
		Expect(r.stdout).To(BeEmpty())
	})

	It("reports problems of a successor with their lines", func() {
		same := runCommand("", "bundle", "check", "--previous", demoFile, demoFile)
		Expect(same.code).To(Equal(exitNegative))
		Expect(same.stdout).To(MatchRegexp(`\n4 +version +1 is not above 1`))
		next := writeDemoWith("\nversion: 1\n", "\nversion: 2\n")
		Expect(runCommand("", "bundle", "check", "--previous", demoFile, next).code).To(Equal(exitOK))
	})

	It("prints the changes between two bundles", func() {
		next := writeDemoWith("\nversion: 1\n", "\nversion: 2\n", "    weight: 3\n", "    weight: 5\n")
		r := runCommand("", "bundle", "diff", demoFile, next)
		Expect(r).To(Equal(commandResult{exitOK, "~ version: 1 -> 2\n~ customers[firma].weight: 3 -> 5\n", ""}))
		Expect(runCommand("", "bundle", "diff", "--exit-code", demoFile, next).code).To(Equal(exitNegative))
		Expect(runCommand("", "bundle", "diff", "--exit-code", "-o", "json", demoFile, demoFile)).To(Equal(commandResult{exitOK, "[]\n", ""}))
	})

	It("hashes API keys from standard input as in the bundle", func() {
		raw, err := os.ReadFile(demoFile)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{"demo-firma-key", "demo-clinic-key"} {
			hash := strings.TrimSpace(runCommand(key+"\n", "bundle", "hash-key").stdout)
			Expect(string(raw)).To(ContainSubstring(`["` + hash + `"]`))
		}
		Expect(runCommand("", "bundle", "hash-key").code).To(Equal(exitError))
		fresh := runCommand("", "bundle", "hash-key", "--generate")
		Expect(runCommand(fresh.stderr, "bundle", "hash-key").stdout).To(Equal(fresh.stdout))
	})

	It("rejects an unknown output format", func() {
		Expect(runCommand("", "bundle", "check", "-o", "xml", demoFile).code).To(Equal(exitError))
	})
})

var _ = Describe("wheatseam errors", func() {
	It("prints every error kind as a table and as JSON", func() {
		table := runCommand("", "errors").stdout
		var rows []errorRow
		Expect(json.Unmarshal([]byte(runCommand("", "errors", "-o", "json").stdout), &rows)).To(Succeed())
		Expect(rows).To(HaveLen(len(problem.Table)))
		for _, row := range problem.Table {
			Expect(table).To(MatchRegexp(`(?m)^%s +%d +%t +%s$`, row.Kind, row.Status, row.Retryable, row.Title))
		}
	})
})
