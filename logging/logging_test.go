package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/logging"
)

func TestLogging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logging")
}

var _ = Describe("New", func() {
	It("writes one line of key=value pairs per event, even if a value has line breaks", func() {
		var out bytes.Buffer
		log, err := logging.New(&out, "info")
		Expect(err).NotTo(HaveOccurred())
		log.Debug("hidden")
		log.Info("refused", logging.Request("entry-1.7"), zap.String("detail", "two\nlines kind=ok"), zap.Duration("took", time.Second))
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(And(
			ContainSubstring("level=info msg=refused request=entry-1.7"),
			ContainSubstring(`detail="two\nlines kind=ok" took=1s`)))
	})

	It("refuses an unknown level", func() {
		_, err := logging.New(&bytes.Buffer{}, "loud")
		Expect(err).To(MatchError(ContainSubstring("loud")))
	})
})
