package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

func readExample(name string) []byte {
	GinkgoHelper()
	raw, err := os.ReadFile("../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

func testKey(fill byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{fill}, ed25519.SeedSize))
}

func publicOf(key ed25519.PrivateKey) ed25519.PublicKey {
	return key.Public().(ed25519.PublicKey)
}

var _ = Describe("Parse", func() {
	It("decodes durations and applies the defaults of omitted values", func() {
		raw := readExample("demo.yaml")
		b, err := bundle.Parse(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Claims.Retention).To(Equal(2 * time.Minute))
		Expect(b.Pipelines[0].Stages[3].Expected).To(Equal(800 * time.Millisecond))
		Expect(b.Pools[1].MaxConnections).To(Equal(bundle.DefaultMaxConnections))

		text := bytes.Replace(raw, []byte("retry: {budget_ratio: 0.1, max_attempts: 3}"), []byte("retry: {budget_ratio: 0}"), 1)
		text = bytes.Replace(text, []byte("  group_size: 3\n"), nil, 1)
		b, err = bundle.Parse(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Claims.GroupSize).To(Equal(bundle.DefaultGroupSize))
		Expect(b.Claims.MaxKeyAhead).To(Equal(time.Second))
		Expect(b.Retry.BudgetRatio).To(BeZero(), "a stated zero is not replaced by the default")
		Expect(b.Retry.MaxAttempts).To(Equal(bundle.DefaultMaxAttempts))
	})

	DescribeTable("rejects", func(old, new string) {
		text := bytes.Replace(readExample("demo.yaml"), []byte(old), []byte(new), 1)
		_, err := bundle.Parse(text)
		Expect(err).To(HaveOccurred())
	},
		Entry("an unknown key", "weight: 3", "wieght: 3"),
		Entry("a duplicate key", "weight: 3", "weight: 3\n    weight: 4"),
		Entry("a second document", "customers:", "---\ncustomers:"),
		Entry("an unknown kind", "kind: engine", "kind: motor"),
		Entry("a duration without a unit", "deadline: 10s", "deadline: 10"),
		Entry("broken YAML", "pools:", "pools: ["),
	)
})

var _ = Describe("signed bundles", func() {
	key, other := testKey(1), testKey(2)

	It("verifies and parses a signed bundle and replaces an earlier signature", func() {
		signed := bundle.Sign(readExample("demo.yaml"), other)
		signed = bundle.Sign(signed, key)
		Expect(bytes.Count(signed, []byte("wheatseam-signature"))).To(Equal(1))
		b, err := bundle.VerifyAndParse(signed, []ed25519.PublicKey{publicOf(other), publicOf(key)})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Deployment).To(Equal("demo"))
		Expect(bundle.StripSignature(signed)).To(Equal(readExample("demo.yaml")))
	})

	It("rejects unsigned and changed bundles and those signed by an untrusted key", func() {
		trusted := []ed25519.PublicKey{publicOf(key)}
		_, err := bundle.VerifyAndParse(readExample("demo.yaml"), trusted)
		Expect(err).To(MatchError(bundle.ErrUnsigned))

		signed := bundle.Sign(readExample("demo.yaml"), key)
		_, err = bundle.VerifyAndParse(bytes.Replace(signed, []byte("weight: 3"), []byte("weight: 9"), 1), trusted)
		Expect(err).To(MatchError(bundle.ErrBadSignature))

		_, err = bundle.VerifyAndParse(append(signed, "policy: round_robin\n"...), trusted)
		Expect(err).To(MatchError(bundle.ErrUnsigned))

		_, err = bundle.VerifyAndParse(bundle.Sign(signed, other), trusted)
		Expect(err).To(MatchError(bundle.ErrUnknownKey))
	})

	It("parses the key files that it marshals", func() {
		private, err := bundle.MarshalPrivateKey(key)
		Expect(err).NotTo(HaveOccurred())
		public, err := bundle.MarshalPublicKey(publicOf(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(bundle.ParsePrivateKey(private)).To(Equal(key))
		Expect(bundle.ParsePublicKey(public)).To(Equal(publicOf(key)))
		_, err = bundle.ParsePublicKey(private)
		Expect(err).To(HaveOccurred())
	})
})
