package soak

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against a daemon that is killed for its memory while all replicas send answers without
// end.
func TestMemoryIsFlatWhileAllReplicasSendEndlessBytes(t *testing.T) {
	const (
		callers  = 200
		duration = 3 * time.Second
	)
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "wheatseamd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/wheatseamd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, kind := range []site.Endless{site.EndlessStatusLine, site.EndlessInterim, site.EndlessBody, site.EndlessChunks} {
		t.Run(kind.String(), func(t *testing.T) {
			g := NewWithT(t)
			r := newRunner(Config{Binary: binary, Dir: t.TempDir(), Seed: 1, Duration: duration, Daemons: 1, MaxMemoryMB: MaxMemoryMB})
			t.Cleanup(r.close)
			g.Expect(r.start()).To(Succeed())
			for _, rep := range r.replicas {
				rep.SetBehaviour(site.Behaviour{Endless: kind})
			}
			ctx, cancel := context.WithTimeout(context.Background(), duration)
			defer cancel()
			var wg sync.WaitGroup
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			for i := range callers {
				wg.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						path := []string{site.SafePath, site.StreamPath}[n%2]
						site.Send(ctx, client, r.daemons[0].callerAddress(), site.Call{ID: fmt.Sprintf("%d-%d", i, n), Path: path, Key: r.newestKey(), Deadline: time.Second})
					}
				})
			}
			r.watchMemory(ctx)
			wg.Wait()
			t.Logf("peak %d MB", r.report.PeakMemory>>20)
			g.Expect(r.report.Violations).To(BeEmpty())
			g.Expect(r.report.PeakMemory).To(BeNumerically(">", 0))
			g.Expect(r.daemons[0].currentIncarnation()).To(Equal(1))
		})
	}
}
