package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/soak"
)

// Guards against an interval between losses that a run without losses silently ignores.
func TestLossIntervalNeedsLosses(t *testing.T) {
	g := NewWithT(t)
	c := newSoakCommand()
	c.SetArgs([]string{"--loss-interval", "14s"})
	c.SilenceErrors, c.SilenceUsage = true, true
	g.Expect(c.Execute()).To(MatchError(errLossIntervalAlone))
}

// Guards against a soak whose callers can't tell seeds that checked none from seeds that passed or
// violated a guarantee.
func TestSoakExitCodes(t *testing.T) {
	for verdict, code := range map[soak.Verdict]int{soak.Passed: exitOK, soak.Violated: exitNegative, soak.CheckedNone: exitInconclusive} {
		c := &cobra.Command{RunE: func(*cobra.Command, []string) error { return verdictError(verdict) }, SilenceErrors: true, SilenceUsage: true}
		c.SetArgs([]string{})
		var stderr strings.Builder
		NewWithT(t).Expect(run(c, &stderr)).To(Equal(code))
		NewWithT(t).Expect(stderr.String()).To(BeEmpty())
	}
}
