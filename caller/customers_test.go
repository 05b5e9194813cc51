package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

var _ = Describe("customerAuthenticator", func() {
	hexHash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	bundleWithKeys := func(keys ...string) *bundle.Bundle {
		b := &bundle.Bundle{}
		for _, key := range keys {
			b.Customers = append(b.Customers, bundle.Customer{Name: key, KeyHashes: []string{hexHash(key + "-old"), strings.ToUpper(hexHash(key))}})
		}
		return b
	}
	var auth customerAuthenticator

	It("authenticates each customer by each of its keys, with hashes in upper or lower case", func() {
		b := bundleWithKeys("a", "b", "c")
		for _, key := range []string{"a", "b", "c"} {
			for _, suffix := range []string{"", "-old"} {
				got, err := auth.authenticate(b, "bearer "+key+suffix)
				Expect(err).To(BeNil())
				Expect(got.Name).To(Equal(key))
			}
		}
	})

	It("rejects a key that the current bundle does not list", func() {
		_, err := auth.authenticate(bundleWithKeys("a"), "Bearer a")
		Expect(err).To(BeNil())
		_, err = auth.authenticate(bundleWithKeys("b"), "Bearer a")
		Expect(err).NotTo(BeNil())
	})

	It("ignores listed hashes that are not SHA-256 hashes", func() {
		b := &bundle.Bundle{Customers: []bundle.Customer{{KeyHashes: []string{"", "zz", "00"}}}}
		for _, key := range []string{"x", "\x00"} {
			_, err := auth.authenticate(b, "Bearer "+key)
			Expect(err).NotTo(BeNil())
		}
	})
})
