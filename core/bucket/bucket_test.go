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

func TestSetsConvergeBucketByBucket(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(3, 4))
	ours, theirs := map[string]string{}, map[string]string{}
	for i := range 3000 {
		key := fmt.Sprint("replica-", i)
		if r.IntN(50) > 0 {
			ours[key] = fmt.Sprint(r.IntN(2))
		}
		if r.IntN(50) > 0 {
			theirs[key] = "0"
		}
	}
	rounds := 0
	for digest := digestOf(theirs); ; digest = digestOf(theirs) {
		d := digestOf(ours)
		differing := d.Differing(digest[:], r.IntN(bucket.Count))
		if len(differing) == 0 {
			break
		}
		rounds++
		for _, b := range differing[:min(5, len(differing))] {
			for key := range theirs {
				if bucket.Of(key) == b {
					delete(theirs, key)
				}
			}
			for key, content := range ours {
				if bucket.Of(key) == b {
					theirs[key] = content
				}
			}
		}
	}
	g.Expect(theirs).To(Equal(ours))
	g.Expect(rounds).To(BeNumerically("<=", (bucket.Count+4)/5))
}

func TestDigests(t *testing.T) {
	g := NewWithT(t)
	set := map[string]string{"a": "1", "b": "2"}
	d := digestOf(set)
	g.Expect(d.Equal(d[:])).To(BeTrue())
	g.Expect(d.Equal(nil)).To(BeFalse(), "a peer that says nothing knows nothing")
	g.Expect(d.Differing(nil, 60)).To(HaveLen(bucket.Count))
	g.Expect(d.Differing(nil, 60)[:5]).To(Equal([]int{60, 61, 62, 63, 0}))
	set["b"] = "3"
	changed := digestOf(set)
	g.Expect(changed.Differing(d[:], 0)).To(Equal([]int{bucket.Of("b")}))
	g.Expect(changed.Sum()).NotTo(Equal(d.Sum()))
}
