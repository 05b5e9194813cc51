package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// bytesBetween returns the number of bytes that hosts have sent each other.
func bytesBetween(fleet []*relayedHost) (n int64) {
	for _, h := range fleet {
		s := h.peerRelay.Stats()
		n += int64(s.BytesToTarget + s.BytesToCaller)
	}
	return n
}

// Guards against traffic between hosts that grows with the requests that have had a prompt read: each
// request of a popular prompt gets all others from both holders, and asks for the stream of each, once
// one of them has run at another version.
func TestTrafficOfHostsDoesNotGrowWithTheReadersOfAPrompt(t *testing.T) {
	t.Parallel()
	checkTrafficOfReaders(t, streamPath)
}

// Guards against the same for streams that can be taken up, about which hosts are asked.
func TestTrafficOfHostsDoesNotGrowWithTheStreamsOfASession(t *testing.T) {
	t.Parallel()
	checkTrafficOfReaders(t, resumePath)
}

func checkTrafficOfReaders(t *testing.T, path string) {
	f := newFixtureOf(t)
	f.registerVersions("v1")
	fleet := f.startRelayedFleet(holderFleet)
	const requests = 60
	perRequest := func(prompt func(int) string) float64 {
		before := bytesBetween(fleet)
		for i := range requests {
			a, _ := fleet[i%holderFleet].send(http.MethodPost, path, fmt.Sprint("turn ", i), withSessionPrompt(prompt(i)))
			f.Expect(a.err).NotTo(HaveOccurred())
		}
		return float64(bytesBetween(fleet)-before) / requests
	}
	popular := func(int) string { return "popular:50" }
	one := perRequest(popular)
	for i := range 2 {
		f.addEngine(fmt.Sprint("v2-", i), "v2")
	}
	f.removeVersion("v1")
	f.awaitReplicas(processes(fleet), len(f.replicas))
	own := perRequest(func(i int) string { return fmt.Sprintf("own%d:50", i) })
	two := perRequest(popular)
	t.Logf("bytes between hosts for each request: %.0f with prompts of their own, %.0f at one version, %.0f once another one has read the prompt", own, one, two)
	f.Expect(two).To(BeNumerically("<", 5*own))
}
