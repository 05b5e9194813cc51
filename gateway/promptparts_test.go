package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// The users' requirements for a part of prompts that crashes replicas: partContactTime after the
// fifth crash, at most lateRunsOfPart more requests with the part reach replicas, and sound
// requests are served at least soundShare times as often as before.
const (
	crashesOfPart   = 5
	partContactTime = 3 * time.Second
	lateRunsOfPart  = 3
	soundShare      = 0.5
)

// Guards against requests that share one part of their prompts and crash one replica after
// another: no two are alike, so that no request crashes three.
func TestPromptPartThatCrashesReplicas(t *testing.T) {
	for where, prompt := range map[string]func(int) string{
		"first":                func(n int) string { return fmt.Sprintf("bad:300,doc%d:200,q%d:30", n, n) },
		"behind a shared part": func(n int) string { return fmt.Sprintf("system:300,bad:200,q%d:30", n) },
		"among changing parts": func(n int) string { return fmt.Sprintf("system:300,doc%d:50,bad:100,page%d:50,q%d:30", n, n, n) },
	} {
		t.Run(where, func(t *testing.T) { promptPartCrashes(t, prompt) })
	}
}

// promptPartCrashes sends requests with the prompts, which crash engines, and sound ones beside
// them, to four hosts.
func promptPartCrashes(t *testing.T, prompt func(n int) string) {
	t.Parallel()
	f := newFixtureOf(t)
	for i := range 10 {
		f.add(fmt.Sprint("x", i), "llm", site.Engine)
	}
	for _, r := range f.replicas {
		if r.Service != "llm" {
			continue
		}
		r.StartUnixMS = time.Now().UnixMilli()
		r.OnRestart = func(r *site.Replica) { f.register(r, "ready") }
		f.register(r, "ready")
		r.SetBehaviour(site.Behaviour{ServiceTime: 20 * time.Millisecond, EventInterval: 20 * time.Millisecond})
		r.SetPoisonRequest(site.PoisonRequest{Part: "bad", CrashDelay: 20 * time.Millisecond, Downtime: 1500 * time.Millisecond})
	}
	crashes := func() int {
		n := 0
		for _, r := range f.replicas {
			n += r.Crashes()
		}
		return n
	}
	fleet, _ := f.startFleet(4)

	sent := 0
	send := func(prompt string) answer {
		sent++
		a, _ := fleet[sent%len(fleet)].send(http.MethodPost, streamPath, fmt.Sprint("body", sent), withPrompt(prompt))
		return a
	}
	served := func(n int) float64 {
		ok := 0
		for range n {
			if send(fmt.Sprintf("system:300,s%d:30", sent)).status == http.StatusOK {
				ok++
			}
		}
		return float64(ok) / float64(n)
	}
	before := served(20)
	f.Expect(before).To(BeNumerically(">", 0.9))

	var deadly sync.WaitGroup
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				deadly.Go(func() {
					fleet[n%len(fleet)].send(http.MethodPost, streamPath, fmt.Sprint("deadly", n), withPrompt(prompt(n)))
				})
			}
		}
	}()
	f.Eventually(crashes, "20s", "5ms").Should(BeNumerically(">=", crashesOfPart))
	fifth := time.Now()
	for time.Since(fifth) < 2*partContactTime {
		served(1)
		time.Sleep(20 * time.Millisecond)
	}
	after := served(40)
	close(stop)
	<-ended
	deadly.Wait()

	late := 0
	for _, run := range f.ledger.RunsWithPart("bad") {
		if run.StartedAt.After(fifth.Add(partContactTime)) {
			late++
		}
	}
	f.Expect(late).To(BeNumerically("<=", lateRunsOfPart), "sent to replicas after %d crashes", crashes())
	f.Expect(after).To(BeNumerically(">=", soundShare*before), "share of sound requests served")
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}

// withPrompt sets the parts of a request's prompt.
func withPrompt(prompt string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Prefix-Hash", prompt) }
}
