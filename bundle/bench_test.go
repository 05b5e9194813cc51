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

// BenchmarkOpen measures verifying, parsing and checking a signed bundle.
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

// BenchmarkSplit measures cutting a signed bundle into parts.
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

// BenchmarkOneCustomerChange counts the bytes that travel to one daemon when
// one customer's weight changes, as the mean over every customer: the hashes
// of the manifest, and the content of the parts that it lacks.
func BenchmarkOneCustomerChange(b *testing.B) {
	for _, bench := range benchSizes {
		b.Run(bench.name, func(b *testing.B) {
			for b.Loop() {
				reportChange(b, bench.sizes)
			}
		})
	}
}

func reportChange(b *testing.B, sizes bundletest.Sizes) {
	before := bundle.Sign(bundletest.YAML(sizes, 7), testKey(1))
	known := store{}
	known.add(before)
	var partBytes, parts, most float64
	manifestBytes := 0.0
	for i := range sizes.Customers {
		after := bundle.Sign(changeWeight(bundletest.YAML(sizes, 8), i), testKey(1))
		fresh := store{}
		fresh.add(after)
		manifest := bundle.NewManifest(8, after)
		manifestBytes = float64(len(manifest.Parts) * len(bundle.Hash{}))
		sum := 0.0
		for _, h := range manifest.Missing(known.has) {
			sum += float64(len(fresh[h]))
			parts++
		}
		partBytes += sum
		most = max(most, sum)
	}
	n := float64(sizes.Customers)
	b.ReportMetric(float64(len(before)), "bundle-bytes")
	b.ReportMetric(manifestBytes, "manifest-bytes")
	b.ReportMetric(partBytes/n, "part-bytes/change")
	b.ReportMetric(most, "max-part-bytes")
	b.ReportMetric(parts/n, "parts/change")
}

func changeWeight(raw []byte, customer int) []byte {
	name := []byte("name: " + bundletest.CustomerName(customer) + "\n")
	at := bytes.Index(raw, name)
	tail := bytes.Replace(raw[at:], []byte("weight: "), []byte("weight: 9"), 1)
	return append(bytes.Clone(raw[:at]), tail...)
}
