package discovery_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

// Guards against every host reading the store for itself when a whole fleet starts for the
// first time, a moment before the operator writes the first configuration.
var _ = Describe("a fleet that starts before the first configuration", func() {
	It("makes few calls to the store, and all hosts are ready within twice the bound", func() {
		const hosts = 24
		f := newTestFleet(hosts)
		f.store.Delete(platform.ConfigKey)
		f.hosts.forming = make(chan struct{})
		var names []string
		for i := 1; i <= hosts; i++ {
			names = append(names, fmt.Sprint("host-", i))
		}
		f.run(names...)
		Eventually(f.store.CallCount, "2s").Should(BeNumerically(">=", hosts), "each host reads once")
		close(f.hosts.forming)
		time.Sleep(bound / 10)
		f.writeConfig(1)
		for _, name := range names {
			Eventually(func() bool { return f.discoveries[name].View().Ready() }, 2*bound).Should(BeTrue(), name)
		}
		Expect(f.store.CallCount()).To(BeNumerically("<", 4*hosts), "148 calls when each host reads for itself")
	})
})
