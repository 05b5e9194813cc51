package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/intake"
)

func TestBackoffLastsAsRequestedUpToTheMaximum(t *testing.T) {
	const maxRequested = 30 * time.Second
	g := NewWithT(t)
	var r intake.Backoffs
	observe := func(now, backoff float64) (intake.Backoff, bool, bool) {
		d := time.Duration(backoff * float64(time.Second))
		return r.Observe(at(now), intake.ReplicaResponse{Replica: "r", Address: "a", Notice: intake.Notice{Backoff: d}}, maxRequested)
	}
	_, began, changed := observe(0, 0)
	g.Expect(began || changed).To(BeFalse())
	backoff, began, changed := observe(1, 3)
	g.Expect(began && changed).To(BeTrue())
	g.Expect(backoff).To(Equal(intake.Backoff{Replica: "r", Address: "a", Since: at(1), Until: at(4)}))
	_, began, changed = observe(2, 1)
	g.Expect(began || changed).To(BeFalse(), "a shorter backoff does not replace the current one")
	backoff, began, changed = observe(3, 2)
	g.Expect(began).To(BeFalse())
	g.Expect(changed).To(BeTrue())
	g.Expect(backoff.Until).To(Equal(at(5)))
	g.Expect(r.RemoveExpired(at(4.9))).To(BeFalse())
	g.Expect(r.All()).To(HaveLen(1))
	g.Expect(r.RemoveExpired(at(5))).To(BeTrue())
	g.Expect(r.All()).To(BeEmpty())
	backoff, _, _ = observe(10, 1e9)
	g.Expect(backoff.Until).To(Equal(at(40)))
}
