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

// Guards against invalid entries under the replica prefix, such as whole pages of entries
// written by others, hiding or delaying valid replicas.
var _ = Describe("invalid entries of other writers", func() {
	const invalid = 180 // more than three pages
	reported := func(logs *observer.ObservedLogs) int {
		return logs.FilterMessage("invalid replica entry ignored").Len()
	}

	// writeEntries puts the invalid entries between the IDs of the replicas, so that every
	// page has some.
	writeEntries := func(f *testFleet) {
		for i := range invalid {
			f.store.Put(fmt.Sprintf("%si-%03d", platform.ReplicaPrefix, i), []byte(`{"service":"s","phase":"sleeping"}`))
		}
		f.writeReplica("i-2", "ready")
		f.writeReplica("zz", "ready")
	}

	It("hide no replica and delay none", func() {
		f := newTestFleet(2)
		writeEntries(f)
		f.run("host-1", "host-2")
		for _, name := range []string{"host-1", "host-2"} {
			Eventually(func() int { return f.discoveries[name].View().Replicas.Len() }, "2s").Should(Equal(3))
		}
		f.writeReplica("zz", "draining")
		for _, name := range []string{"host-1", "host-2"} {
			Eventually(func() bool { return f.discoveries[name].View().Replicas.Get("zz").Draining }, bound).Should(BeTrue())
		}
	})

	It("are counted, and logged once per change", func() {
		core, logs := observer.New(zapcore.WarnLevel)
		f := newTestFleet(1, func(c *discovery.Config) { c.Logger = zap.New(core) })
		writeEntries(f)
		f.run("host-1")
		Eventually(f.discoveries["host-1"].InvalidEntryCount, "2s").Should(Equal(invalid))
		reads := f.discoveries["host-1"].Dump().StoreReads
		Eventually(func() uint64 { return f.discoveries["host-1"].Dump().StoreReads }, "2s").Should(BeNumerically(">", reads+1))
		Expect(reported(logs)).To(Equal(invalid), "unchanged entries are not reported again")
		f.store.Put(platform.ReplicaPrefix+"i-007", []byte(`{"service":5}`))
		Eventually(func() int { return reported(logs) }, "2s").Should(Equal(invalid + 1))
	})
})
