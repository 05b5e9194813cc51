package problem_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/doccheck"
	"github.com/wheatseam/wheatseam/problem"
)

func TestProblem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "problem")
}

var _ = Describe("Table", func() {
	var kinds []string
	for _, r := range problem.Table {
		kinds = append(kinds, string(r.Kind))
	}

	It("has each kind once, always with a status of 400 or above", func() {
		seen := map[problem.Kind]bool{}
		for _, r := range problem.Table {
			Expect(seen).NotTo(HaveKey(r.Kind))
			seen[r.Kind] = true
			Expect(r.Status).To(BeNumerically(">=", 400))
			Expect(r.Title).NotTo(BeEmpty())
		}
	})

	It("is equal to the table in docs/API.md", func() {
		table := "| kind | status | retry | title |\n|---|---|---|---|\n"
		for _, r := range problem.Table {
			retry := "no"
			if r.Retryable {
				retry = "yes"
			}
			table += fmt.Sprintf("| `%s` | %d | %s | %s |\n", r.Kind, r.Status, retry, r.Title)
		}
		raw, err := os.ReadFile("../docs/API.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring("\n" + table + "\n"))
	})

	It("lists the kinds that docs/OPERATIONS.md gives advice for", func() {
		listed, err := doccheck.DocumentedKeys("../docs/OPERATIONS.md", "### What each refusal means, and what to do")
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(Equal(kinds))
	})
})

var _ = Describe("Error", func() {
	It("is found in an error chain, and any other error becomes Internal with MayHaveRun", func() {
		e := problem.New(problem.Overloaded, "queue is full")
		Expect(problem.FromError(fmt.Errorf("stage: %w", e))).To(BeIdenticalTo(e))
		Expect(e.Execution).To(Equal(problem.NotRun))
		other := problem.FromError(errors.New("x"))
		Expect(other.Kind).To(Equal(problem.Internal))
		Expect(other.Execution).To(Equal(problem.MayHaveRun))
		Expect(problem.Lookup("no such kind").Kind).To(Equal(problem.Internal))
	})
})
