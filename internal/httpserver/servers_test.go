package httpserver_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// serversElsewhere matches what serves HTTP without the limits of this package.
var serversElsewhere = regexp.MustCompile(`[^.\w]http\.(Server\{|ListenAndServe|Serve\()`)

// testSupport are the folders of programs and packages that serve tests only.
var testSupport = []string{"internal/standin", "internal/proctest", "internal/httpserver", "internal/crowd", "review", "soak"}

// Every HTTP server of the daemons is built by this package.
func TestNoServersWithoutLimits(t *testing.T) {
	g := NewWithT(t)
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			for _, s := range testSupport {
				if folder == s {
					return filepath.SkipDir
				}
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		g.Expect(serversElsewhere.FindString(string(text))).To(BeEmpty(), "%s builds an HTTP server; use httpserver.Listen", folder)
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
}
