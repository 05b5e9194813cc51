package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against streams that can't go on while new work takes all stage capacity: a caller that
// holds the beginning of an answer was refused by the same prediction as a new one. The resumes come
// through another host than the one that plans.
func TestStreamsGoOnWhileStagesAreShortOfCapacity(t *testing.T) {
	f := newFixtureOf(t)
	f.registerVersions("v1")
	fleet, _ := f.startFleet(2)
	var streams []brokenStream
	f.breakStreams(true)
	for i := range 6 {
		streams = append(streams, f.beginBroken(fleet[i%2], longPath, withLongDeadlineAndStage))
	}
	f.breakStreams(false)
	f.behave("encode", site.Behaviour{ServiceTime: 300 * time.Millisecond})
	done, refused := make(chan struct{}), 0
	go func() {
		defer close(done)
		for _, n := range sendLoad(fleet, 8*time.Millisecond, 4*time.Second, longPath, withLongDeadlineAndStage).unserved {
			refused += n
		}
	}()
	time.Sleep(2 * time.Second)
	wentOn := 0
	for i, stream := range streams {
		a, _ := fleet[i%2].send(http.MethodPost, longPath, "x", func(r *http.Request) {
			takeUp(stream.id, stream.body)(r)
			withLongDeadlineAndStage(r)
		})
		f.Expect(a.err).NotTo(HaveOccurred())
		if a.status == http.StatusOK {
			wentOn++
		}
	}
	<-done
	f.Expect(refused).To(BeNumerically(">", 100), "the stages were not short of capacity")
	f.Expect(wentOn).To(Equal(len(streams)))
	f.Expect(preferred(fleet)).To(BeNumerically(">=", len(streams)))
	f.Expect(f.ledger.Violations()).To(BeEmpty())
}

// preferred is the number of requests that continued a stream ahead of new work, at all hosts.
func preferred(fleet []*gatewayProcess) (sum int) {
	for _, g := range fleet {
		for _, line := range g.metricLines(`wheatseam_stage_continuations_total{result="preferred"}`) {
			n := 0
			_, err := fmt.Sscanf(line, `wheatseam_stage_continuations_total{result="preferred"} %d`, &n)
			g.Expect(err).NotTo(HaveOccurred())
			sum += n
		}
	}
	return sum
}
