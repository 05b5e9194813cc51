package bundle_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

// store holds parts by their hash.
type store map[bundle.Hash][]byte

func (s store) add(signed []byte) {
	for _, p := range bundle.Split(signed) {
		s[p.Hash] = p.Content
	}
}

func (s store) get(h bundle.Hash) ([]byte, bool) {
	content, ok := s[h]
	return content, ok
}

func (s store) has(h bundle.Hash) bool {
	_, ok := s[h]
	return ok
}

var _ = Describe("parts", func() {
	It("join to the same bytes, whatever the bytes are", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			line := rapid.SliceOfN(rapid.Byte(), 0, 40)
			var text []byte
			for _, l := range rapid.SliceOfN(line, 0, 400).Draw(t, "lines") {
				text = append(append(text, l...), '\n')
			}
			text = append(text, bytes.Repeat([]byte("x"), rapid.IntRange(0, 3*bundle.MaxPartSize).Draw(t, "tail"))...)
			parts := store{}
			parts.add(text)
			for _, content := range parts {
				if len(content) == 0 || len(content) > bundle.MaxPartSize {
					t.Fatalf("a part of %d bytes", len(content))
				}
			}
			joined, err := bundle.Join(bundle.NewManifest(1, text), parts.get)
			if err != nil || !bytes.Equal(joined, text) {
				t.Fatalf("joined %d bytes of %d: %v", len(joined), len(text), err)
			}
		})
	})

	It("leaves all parts alone but those that an edit touches", func() {
		before := bundle.Sign(bundletest.YAML(bundletest.TargetSizes, 7), testKey(1))
		edited := bytes.Replace(bundletest.YAML(bundletest.TargetSizes, 8),
			[]byte("name: customer-200\n"), []byte("name: renamed-customer-200\n"), 1)
		after := bundle.Sign(edited, testKey(1))
		known := store{}
		known.add(before)
		missing := bundle.NewManifest(8, after).Missing(known.has)
		Expect(missing).To(HaveLen(3), "the version, the customer's part and the signature")
	})

	It("says what is missing, and refuses parts that differ from the digest", func() {
		signed := bundle.Sign(bundletest.YAML(bundletest.TargetSizes, 7), testKey(1))
		manifest := bundle.NewManifest(7, signed)
		parts := store{}
		parts.add(signed)
		lost := manifest.Parts[1]
		content := parts[lost]
		delete(parts, lost)
		Expect(manifest.Missing(parts.has)).To(Equal([]bundle.Hash{lost}))
		_, err := bundle.Join(manifest, parts.get)
		Expect(err).To(MatchError(bundle.ErrMissingPart))

		parts[lost] = append([]byte("#"), content[1:]...)
		_, err = bundle.Join(manifest, parts.get)
		Expect(err).To(MatchError(bundle.ErrDigest))
	})

	It("come from valid bundles of any size", func() {
		for _, sizes := range []bundletest.Sizes{bundletest.TargetSizes, bundletest.CurrentSizes} {
			b := bundletest.Bundle(sizes, 3)
			upstreams := 0
			for _, p := range b.Pools {
				upstreams += len(p.Upstreams)
			}
			Expect([]int{len(b.Hosts), len(b.Customers), len(b.Pipelines), len(b.FailureDomains), upstreams}).To(Equal(
				[]int{sizes.Hosts, sizes.Customers, sizes.Pipelines, sizes.Domains, sizes.Upstreams}))
		}
	})
})
