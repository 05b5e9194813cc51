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

// result is what a command left behind.
type result struct {
	code           int
	stdout, stderr string
}

func wheatseam(stdin string, args ...string) result {
	GinkgoHelper()
	var stdout, stderr bytes.Buffer
	root := newRoot()
	root.SetIn(strings.NewReader(stdin))
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(args)
	return result{run(root, &stderr), stdout.String(), stderr.String()}
}

// demoWith writes the demo bundle with replacements to a file.
func demoWith(replace ...string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(demoFile)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "bundle.yaml")
	text := strings.NewReplacer(replace...).Replace(string(raw))
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("wheatseam bundle", func() {
	It("makes keys, signs, and checks what it signed", func() {
		dir := GinkgoT().TempDir()
		keys, signed := filepath.Join(dir, "ops"), filepath.Join(dir, "signed.yaml")
		Expect(wheatseam("", "bundle", "keygen", "--out", keys).code).To(Equal(exitOK))
		info, err := os.Stat(keys + ".key")
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(BeEquivalentTo(0o600))
		Expect(wheatseam("", "bundle", "keygen", "--out", keys).code).To(Equal(exitFailed), "a key is not written over")

		Expect(wheatseam("", "bundle", "sign", "--key", keys+".key", "--out", signed, demoFile).code).To(Equal(exitOK))
		Expect(wheatseam("", "bundle", "check", "--key", keys+".pub", signed).code).To(Equal(exitOK))
		Expect(wheatseam("", "bundle", "check", "--key", keys+".pub", demoFile).stderr).To(ContainSubstring("no signature"))

		Expect(wheatseam("", "bundle", "keygen", "--force", "--out", keys).code).To(Equal(exitOK))
		Expect(wheatseam("", "bundle", "check", "--key", keys+".pub", signed).code).To(Equal(exitFailed))
	})

	It("names every problem and signs no such bundle", func() {
		file := demoWith("pool: encoders", "pool: nowhere", "group_size: 3", "group_size: 4")
		r := wheatseam("", "bundle", "check", file)
		Expect(r.code).To(Equal(exitFound))
		Expect(r.stdout).To(MatchRegexp(`(?s)LINE +PATH +PROBLEM\n20 +claims\.group_size .*\n75 +pipelines\[0\]\.stages\[0\]\.pool `))

		var listed []bundle.Problem
		r = wheatseam("", "bundle", "check", "-o", "json", file)
		Expect(json.Unmarshal([]byte(r.stdout), &listed)).To(Succeed())
		Expect(listed).To(HaveLen(2))

		keys := filepath.Join(GinkgoT().TempDir(), "ops")
		Expect(wheatseam("", "bundle", "keygen", "--out", keys).code).To(Equal(exitOK))
		r = wheatseam("", "bundle", "sign", "--key", keys+".key", file)
		Expect(r.code).To(Equal(exitFound))
		Expect(r.stdout).To(BeEmpty())
	})

	It("checks a successor, with the line of what is wrong", func() {
		same := wheatseam("", "bundle", "check", "--previous", demoFile, demoFile)
		Expect(same.code).To(Equal(exitFound))
		Expect(same.stdout).To(MatchRegexp(`\n4 +version +1 is not above 1`))
		next := demoWith("\nversion: 1\n", "\nversion: 2\n")
		Expect(wheatseam("", "bundle", "check", "--previous", demoFile, next).code).To(Equal(exitOK))
	})

	It("shows differences", func() {
		next := demoWith("\nversion: 1\n", "\nversion: 2\n", "    weight: 3\n", "    weight: 5\n")
		r := wheatseam("", "bundle", "diff", demoFile, next)
		Expect(r).To(Equal(result{exitOK, "~ version: 1 -> 2\n~ customers[firma].weight: 3 -> 5\n", ""}))
		Expect(wheatseam("", "bundle", "diff", "--exit-code", demoFile, next).code).To(Equal(exitFound))
		Expect(wheatseam("", "bundle", "diff", "--exit-code", "-o", "json", demoFile, demoFile)).To(Equal(result{exitOK, "[]\n", ""}))
	})

	It("hashes keys from standard input as the bundle holds them", func() {
		raw, err := os.ReadFile(demoFile)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{"demo-firma-key", "demo-clinic-key"} {
			hash := strings.TrimSpace(wheatseam(key+"\n", "bundle", "hash-key").stdout)
			Expect(string(raw)).To(ContainSubstring(`["` + hash + `"]`))
		}
		Expect(wheatseam("", "bundle", "hash-key").code).To(Equal(exitFailed))
		fresh := wheatseam("", "bundle", "hash-key", "--generate")
		Expect(wheatseam(fresh.stderr, "bundle", "hash-key").stdout).To(Equal(fresh.stdout))
	})

	It("refuses an unknown output format", func() {
		Expect(wheatseam("", "bundle", "check", "-o", "xml", demoFile).code).To(Equal(exitFailed))
	})
})

var _ = Describe("wheatseam errors", func() {
	It("prints every kind, as a table and as JSON", func() {
		table := wheatseam("", "errors").stdout
		var rows []errorRow
		Expect(json.Unmarshal([]byte(wheatseam("", "errors", "-o", "json").stdout), &rows)).To(Succeed())
		Expect(rows).To(HaveLen(len(problem.Table)))
		for _, row := range problem.Table {
			Expect(table).To(MatchRegexp(`(?m)^%s +%d +%t +%s$`, row.Kind, row.Status, row.Retryable, row.Title))
		}
	})
})
