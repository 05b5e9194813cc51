package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/wheatseam/wheatseam/bundle"
)

// BenchmarkAuthenticate authenticates the last of n customers by its API key.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{5, 41, 410, 4100} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			config := &bundle.Bundle{}
			for i := range n {
				sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
				config.Customers = append(config.Customers, bundle.Customer{KeyHashes: []string{hex.EncodeToString(sum[:])}})
			}
			header := fmt.Sprintf("Bearer key-%d", n-1)
			var auth customerAuthenticator
			for b.Loop() {
				if _, err := auth.authenticate(config, header); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
