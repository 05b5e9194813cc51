package admit

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmitSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admit Suite")
}
