package bench

import (
	"fmt"
	"os"
	"testing"
)

// harnessEnv is the environment variable that makes the test binary run as the harness.
const harnessEnv = "WHEATSEAM_BENCH_OUTSIDE"

func TestMain(m *testing.M) {
	if os.Getenv(harnessEnv) == "" {
		os.Exit(m.Run())
	}
	if err := runHarness(); err != nil {
		fmt.Fprintln(os.Stderr, "bench harness:", err)
		os.Exit(1)
	}
}
