package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/position"
	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

// Guards against evacuations that stay published after their end, if the host learned of the
// restored store from one that had heard of it late, and of its real age only with a later order.
func TestEvacuationsEndWhenTheRestoreTurnsOutToBeOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := New(Config{Self: "d0", Mux: peer.NewMux(), Logger: zap.NewNop(), OnViewChange: func(*View) {}})
		receive := func(revision uint64, eraAge time.Duration, domains ...string) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.receiveEvacuations(&wire.Evacuations{Revision: revision, FailureDomains: domains, EraAgeMs: uint32(eraAge.Milliseconds())})
		}
		receive(position.Of(0, 5), 0, "surco")
		receive(position.Of(1, 1), 0)
		g.Expect(d.View().Evacuations.Domains).To(Equal([]string{"surco"}))
		time.Sleep(time.Second)
		receive(position.Of(1, 2), 4*time.Second, "lima")
		g.Expect(d.View().Evacuations.Domains).To(Equal([]string{"lima", "surco"}))
		time.Sleep(1100 * time.Millisecond)
		g.Expect(d.View().Evacuations.Domains).To(Equal([]string{"lima"}))
	})
}
