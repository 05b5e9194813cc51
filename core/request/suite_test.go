package request

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core/request")
}
