package bundle_test

import (
	"bytes"
	"crypto/ed25519"
	"testing"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/bundle/bundletest"
)

var benchSizes = []struct {
	name  string
	sizes bundletest.Sizes
}{{"today", bundletest.CurrentSizes}, {"target", bundletest.TargetSizes}}

// BenchmarkOpen measures VerifyAndParse: the verification, parsing and validation of
// a signed bundle.
func BenchmarkOpen(b *testing.B) {
	key := testKey(1)
	for _, bench := range benchSizes {
		b.Run(bench.name, func(b *testing.B) {
			signed := bundle.Sign(bundletest.YAML(bench.sizes, 7), key)
			b.ReportAllocs()
			b.ReportMetric(float64(len(signed)), "bundle-bytes")
			for b.Loop() {
				if _, err := bundle.VerifyAndParse(signed, []ed25519.PublicKey{publicOf(key)}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSplit measures the division of a signed bundle into parts.
func BenchmarkSplit(b *testing.B) {
	for _, bench := range benchSizes {
		b.Run(bench.name, func(b *testing.B) {
			signed := bundle.Sign(bundletest.YAML(bench.sizes, 7), testKey(1))
			parts := len(bundle.Split(signed))
			b.SetBytes(int64(len(signed)))
			for b.Loop() {
				bundle.Split(signed)
			}
			b.ReportMetric(float64(parts), "parts")
		})
	}
}

// BenchmarkOneCustomerChange reports the number of bytes transferred to one daemon
// when the weight of one customer changes: the hashes of the manifest and the
// content of the parts that the daemon does not have. It reports the mean over all
// customers.
func BenchmarkOneCustomerChange(b *testing.B) {
	for _, bench := range benchSizes {
		b.Run(bench.name, func(b *testing.B) {
			for b.Loop() {
				reportChangeCost(b, bench.sizes)
			}
		})
	}
}

func reportChangeCost(b *testing.B, sizes bundletest.Sizes) {
	before := bundle.Sign(bundletest.YAML(sizes, 7), testKey(1))
	knownParts := partStore{}
	knownParts.add(before)
	var partBytes, parts, maxChangeBytes float64
	manifestBytes := 0.0
	for i := range sizes.Customers {
		after := bundle.Sign(changeWeight(bundletest.YAML(sizes, 8), i), testKey(1))
		newParts := partStore{}
		newParts.add(after)
		manifest := bundle.NewManifest(8, after)
		manifestBytes = float64(len(manifest.Parts) * len(bundle.Hash{}))
		changeBytes := 0.0
		for _, h := range manifest.Missing(knownParts.has) {
			changeBytes += float64(len(newParts[h]))
			parts++
		}
		partBytes += changeBytes
		maxChangeBytes = max(maxChangeBytes, changeBytes)
	}
	n := float64(sizes.Customers)
	b.ReportMetric(float64(len(before)), "bundle-bytes")
	b.ReportMetric(manifestBytes, "manifest-bytes")
	b.ReportMetric(partBytes/n, "part-bytes/change")
	b.ReportMetric(maxChangeBytes, "max-part-bytes")
	b.ReportMetric(parts/n, "parts/change")
}

func changeWeight(raw []byte, customer int) []byte {
	name := []byte("name: " + bundletest.CustomerName(customer) + "\n")
	customerOffset := bytes.Index(raw, name)
	tail := bytes.Replace(raw[customerOffset:], []byte("weight: "), []byte("weight: 9"), 1)
	return append(bytes.Clone(raw[:customerOffset]), tail...)
}
