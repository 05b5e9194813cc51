package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/discovery"
)

// viewOf is a view of n replicas, of which each pair shares an address if paired is set.
func viewOf(n int, paired bool) *discovery.View {
	replicas := make([]catalog.Replica, n)
	for i := range replicas {
		number := i
		if paired {
			number = i / 2
		}
		replicas[i] = catalog.Replica{ID: fmt.Sprint("r", i), Address: fmt.Sprintf("10.0.%d.%d:80", number/250, number%250)}
	}
	return &discovery.View{Replicas: catalog.NewReplicaSet(replicas)}
}

// Guards against hosts that index the addresses of all replicas several times a second although
// nothing needs the index: views are replaced at each read of the store.
func TestAddressesAreNotIndexedToCountThem(t *testing.T) {
	g := NewWithT(t)
	var index addressIndex
	for _, n := range []int{200, 10_000} {
		views := []*discovery.View{viewOf(n, false), viewOf(n, false)}
		turn := 0
		allocated := testing.AllocsPerRun(20, func() {
			turn++
			g.Expect(index.of(views[turn%2]).count()).To(Equal(n))
		})
		g.Expect(allocated).To(BeNumerically("<", 50), "%d replicas", n)
	}
}

func TestAddressesOfFewReplicasAreCountedExactly(t *testing.T) {
	g := NewWithT(t)
	var index addressIndex
	l := index.of(viewOf(8, true))
	g.Expect(l.count()).To(Equal(4))
	g.Expect(l.contains("10.0.0.3:80")).To(BeTrue())
	g.Expect(l.contains("10.0.0.4:80")).To(BeFalse())
	g.Expect(l.sample(9)).To(ConsistOf("10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"))
	g.Expect(l.sample(2)).To(HaveLen(2))
}

// Guards against an index that is built again for a view with the same replicas.
func TestAddressIndexIsKeptWhileTheReplicasAreTheSame(t *testing.T) {
	g := NewWithT(t)
	var index addressIndex
	v := viewOf(10_000, false)
	g.Expect(index.of(v).contains("10.0.39.249:80")).To(BeTrue())
	allocated := testing.AllocsPerRun(20, func() {
		next := *v
		index.of(&next).contains("10.0.39.249:80")
	})
	g.Expect(allocated).To(BeNumerically("<", 5))
}

// Guards against quotas that are computed again several times a second because the view was
// replaced by one with the same content.
func TestRefusalInputsStayWhileTheContentDoes(t *testing.T) {
	g := NewWithT(t)
	v := viewOf(8, false)
	next := *v
	g.Expect(newRefusalInputs(&next) == newRefusalInputs(v)).To(BeTrue())
	next.Replicas = viewOf(8, false).Replicas
	g.Expect(newRefusalInputs(&next) == newRefusalInputs(v)).To(BeFalse())
}
