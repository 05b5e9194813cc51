package bucket_test

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/bucket"
)

var seed = maphash.MakeSeed()

func digestOf(set map[string]string) bucket.Digest {
	var d bucket.Digest
	for key, content := range set {
		d.Add(key, maphash.String(seed, key+"\x00"+content))
	}
	return d
}

func TestSetsConvergeWhenExchangedByBucket(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(3, 4))
	local, remote := map[string]string{}, map[string]string{}
	for i := range 3000 {
		key := fmt.Sprint("replica-", i)
		if r.IntN(50) > 0 {
			local[key] = fmt.Sprint(r.IntN(2))
		}
		if r.IntN(50) > 0 {
			remote[key] = "0"
		}
	}
	rounds := 0
	for digest := digestOf(remote); ; digest = digestOf(remote) {
		d := digestOf(local)
		differing := d.Differing(digest[:], r.IntN(bucket.Count))
		if len(differing) == 0 {
			break
		}
		rounds++
		for _, b := range differing[:min(5, len(differing))] {
			for key := range remote {
				if bucket.Of(key) == b {
					delete(remote, key)
				}
			}
			for key, content := range local {
				if bucket.Of(key) == b {
					remote[key] = content
				}
			}
		}
	}
	g.Expect(remote).To(Equal(local))
	g.Expect(rounds).To(BeNumerically("<=", (bucket.Count+4)/5))
}

func TestDigestComparison(t *testing.T) {
	g := NewWithT(t)
	set := map[string]string{"a": "1", "b": "2"}
	d := digestOf(set)
	g.Expect(d.Equal(d[:])).To(BeTrue())
	g.Expect(d.Equal(nil)).To(BeFalse(), "a peer without a digest differs")
	g.Expect(d.Differing(nil, 60)).To(HaveLen(bucket.Count))
	g.Expect(d.Differing(nil, 60)[:5]).To(Equal([]int{60, 61, 62, 63, 0}))
	set["b"] = "3"
	changed := digestOf(set)
	g.Expect(changed.Differing(d[:], 0)).To(Equal([]int{bucket.Of("b")}))
	g.Expect(changed.Sum()).NotTo(Equal(d.Sum()))
}
