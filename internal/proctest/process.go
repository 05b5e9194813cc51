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

// RaceEnv is the environment variable that, if not empty, enables the race
// detector in the daemons, which reports races in their logs (see RaceFound).
const RaceEnv = "WHEATSEAM_RACE"

// Process is a daemon process that a test started.
type Process struct{ *process.Process }

// RaceFound reports whether the process has logged a data race.
func (p *Process) RaceFound() bool { return strings.Contains(p.Log(), "WARNING: DATA RACE") }

var build struct {
	once sync.Once
	dir  string
	err  error
}

// daemonBinary returns the path of wheatseamd, which it builds once per test
// process.
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

// RemoveDaemonBinary removes the daemon binary. Call it once after all tests.
func RemoveDaemonBinary() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}
