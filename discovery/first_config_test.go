package discovery_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

// The pattern: a whole fleet starts for the first time, a moment before the
// operator writes the first configuration.
var _ = Describe("a fleet that starts before the first configuration", func() {
	It("has one host watch for it, and is ready together within the bound", func() {
		const hosts = 24
		d := newTestFleet(hosts)
		d.store.Delete(platform.ConfigKey)
		d.hosts.forming = make(chan struct{})
		var names []string
		for i := 1; i <= hosts; i++ {
			names = append(names, fmt.Sprint("host-", i))
		}
		d.run(names...)
		Eventually(d.store.Calls, "2s").Should(BeNumerically(">=", hosts), "each looks once")
		close(d.hosts.forming)
		time.Sleep(bound / 10)
		d.writeConfig(1)
		for _, name := range names {
			Eventually(func() bool { return d.discoveries[name].View().Ready() }, 2*bound).Should(BeTrue(), name)
		}
		Expect(d.store.Calls()).To(BeNumerically("<", 4*hosts), "148 where each reads for itself")
	})
})
