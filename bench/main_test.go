package bench

import (
	"fmt"
	"os"
	"testing"
)

// outsideEnv makes the test binary play the outside of the daemon.
const harnessEnv = "WHEATSEAM_BENCH_OUTSIDE"

func TestMain(m *testing.M) {
	if os.Getenv(harnessEnv) == "" {
		os.Exit(m.Run())
	}
	if err := runHarness(); err != nil {
		fmt.Fprintln(os.Stderr, "outside:", err)
		os.Exit(1)
	}
}
