package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

var _ = Describe("customers", func() {
	hashOf := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	bundleOf := func(keys ...string) *bundle.Bundle {
		b := &bundle.Bundle{}
		for _, key := range keys {
			b.Customers = append(b.Customers, bundle.Customer{Name: key, KeyHashes: []string{hashOf(key + "-old"), strings.ToUpper(hashOf(key))}})
		}
		return b
	}
	var all customers

	It("finds each customer by each of its keys, however the hash is written", func() {
		b := bundleOf("a", "b", "c")
		for _, key := range []string{"a", "b", "c"} {
			for _, suffix := range []string{"", "-old"} {
				got, err := all.customer(b, "bearer "+key+suffix)
				Expect(err).To(BeNil())
				Expect(got.Name).To(Equal(key))
			}
		}
	})

	It("forgets a key with the bundle that named it", func() {
		_, err := all.customer(bundleOf("a"), "Bearer a")
		Expect(err).To(BeNil())
		_, err = all.customer(bundleOf("b"), "Bearer a")
		Expect(err).NotTo(BeNil())
	})

	It("knows no key whose hash is no hash", func() {
		b := &bundle.Bundle{Customers: []bundle.Customer{{KeyHashes: []string{"", "zz", "00"}}}}
		for _, key := range []string{"x", "\x00"} {
			_, err := all.customer(b, "Bearer "+key)
			Expect(err).NotTo(BeNil())
		}
	})
})
