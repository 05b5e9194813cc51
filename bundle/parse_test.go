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

func example(name string) []byte {
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
	It("reads durations and applies the defaults that are left out", func() {
		raw := example("demo.yaml")
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
		Expect(b.Retry.BudgetRatio).To(BeZero(), "a stated zero is no default")
		Expect(b.Retry.MaxAttempts).To(Equal(bundle.DefaultMaxAttempts))
	})

	DescribeTable("refuses", func(old, new string) {
		text := bytes.Replace(example("demo.yaml"), []byte(old), []byte(new), 1)
		_, err := bundle.Parse(text)
		Expect(err).To(HaveOccurred())
	},
		Entry("an unknown key", "weight: 3", "wieght: 3"),
		Entry("a key given twice", "weight: 3", "weight: 3\n    weight: 4"),
		Entry("a second document", "customers:", "---\ncustomers:"),
		Entry("an unknown kind", "kind: engine", "kind: motor"),
		Entry("a duration without a unit", "deadline: 10s", "deadline: 10"),
		Entry("broken YAML", "pools:", "pools: ["),
	)
})

var _ = Describe("signed bundles", func() {
	key, other := testKey(1), testKey(2)

	It("opens what it signed, and signs again over an earlier signature", func() {
		signed := bundle.Sign(example("demo.yaml"), other)
		signed = bundle.Sign(signed, key)
		Expect(bytes.Count(signed, []byte("wheatseam-signature"))).To(Equal(1))
		b, err := bundle.VerifyAndParse(signed, []ed25519.PublicKey{publicOf(other), publicOf(key)})
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Deployment).To(Equal("demo"))
		Expect(bundle.Document(signed)).To(Equal(example("demo.yaml")))
	})

	It("refuses the unsigned, the changed and the stranger's", func() {
		trusted := []ed25519.PublicKey{publicOf(key)}
		_, err := bundle.VerifyAndParse(example("demo.yaml"), trusted)
		Expect(err).To(MatchError(bundle.ErrUnsigned))

		signed := bundle.Sign(example("demo.yaml"), key)
		_, err = bundle.VerifyAndParse(bytes.Replace(signed, []byte("weight: 3"), []byte("weight: 9"), 1), trusted)
		Expect(err).To(MatchError(bundle.ErrBadSignature))

		_, err = bundle.VerifyAndParse(append(signed, "policy: round_robin\n"...), trusted)
		Expect(err).To(MatchError(bundle.ErrUnsigned))

		_, err = bundle.VerifyAndParse(bundle.Sign(signed, other), trusted)
		Expect(err).To(MatchError(bundle.ErrUnknownKey))
	})

	It("reads the key files that it writes", func() {
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
