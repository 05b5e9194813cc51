package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/wheatseam/wheatseam/bundle"
)

// BenchmarkCustomer finds the last customer by its key.
func BenchmarkCustomer(b *testing.B) {
	for _, n := range []int{5, 41, 410, 4100} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			bun := &bundle.Bundle{}
			for i := range n {
				sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
				bun.Customers = append(bun.Customers, bundle.Customer{KeyHashes: []string{hex.EncodeToString(sum[:])}})
			}
			header := fmt.Sprintf("Bearer key-%d", n-1)
			var all customers
			for b.Loop() {
				if _, err := all.customer(bun, header); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
