package share

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Share Suite")
}
