package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/wheatseam/wheatseam/internal/process"
)

// RaceEnv is the environment variable that has the daemons built with the race
// detector. What it finds is in their logs (see RaceFound).
const RaceEnv = "WHEATSEAM_RACE"

// Process is a daemon that a test started.
type Process struct{ *process.Process }

// RaceFound reports whether the race detector has found a race in the process.
func (p *Process) RaceFound() bool { return strings.Contains(p.Log(), "WARNING: DATA RACE") }

var build struct {
	once sync.Once
	dir  string
	err  error
}

// daemonBinary builds wheatseamd once for the test binary.
func daemonBinary() (string, error) {
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "wheatseam-proctest")
		if build.err != nil {
			return
		}
		args := []string{"build", "-o", build.dir}
		if os.Getenv(RaceEnv) != "" {
			args = append(args, "-race")
		}
		cmd := exec.Command("go", append(args, "github.com/wheatseam/wheatseam/cmd/wheatseamd")...)
		if out, err := cmd.CombinedOutput(); err != nil {
			build.err = fmt.Errorf("build wheatseamd: %w: %s", err, out)
		}
	})
	return filepath.Join(build.dir, "wheatseamd"), build.err
}

// Cleanup removes the built binary. Call it once when all tests are over.
func RemoveDaemonBinary() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}
