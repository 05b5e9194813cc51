package discovery_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/platform"
)

// The pattern: others write among the replicas, whole pages of entries that name
// none.
var _ = Describe("entries of other writers", func() {
	const foreign = 180 // more than three pages
	refused := func(logs *observer.ObservedLogs) int { return logs.FilterMessage("replica entry refused").Len() }

	// among writes them between the ids of the replicas, so that every page has some.
	among := func(d *day) {
		for i := range foreign {
			d.store.Put(fmt.Sprintf("%si-%03d", platform.ReplicaPrefix, i), []byte(`{"service":"s","phase":"sleeping"}`))
		}
		d.replica("i-2", "ready")
		d.replica("zz", "ready")
	}

	It("hide no replica and delay none", func() {
		d := newDay(2)
		among(d)
		d.run("host-1", "host-2")
		for _, name := range []string{"host-1", "host-2"} {
			Eventually(func() int { return len(d.found[name].View().Replicas) }, "2s").Should(Equal(3))
		}
		d.replica("zz", "draining")
		for _, name := range []string{"host-1", "host-2"} {
			Eventually(func() bool { return d.found[name].View().Replicas["zz"].Draining }, bound).Should(BeTrue())
		}
	})

	It("are counted and logged once a change", func() {
		core, logs := observer.New(zapcore.WarnLevel)
		d := newDay(1, func(c *discovery.Config) { c.Logger = zap.New(core) })
		among(d)
		d.run("host-1")
		Eventually(d.found["host-1"].InvalidEntryCount, "2s").Should(Equal(foreign))
		reads := d.found["host-1"].Dump().Reads
		Eventually(func() uint64 { return d.found["host-1"].Dump().Reads }, "2s").Should(BeNumerically(">", reads+1))
		Expect(refused(logs)).To(Equal(foreign), "nothing changed in them")
		d.store.Put(platform.ReplicaPrefix+"i-007", []byte(`{"service":5}`))
		Eventually(func() int { return refused(logs) }, "2s").Should(Equal(foreign + 1))
	})
})
