package strictyaml_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

func TestStrictYAML(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strictyaml")
}

type inner struct {
	Ratio float64   `yaml:"ratio"`
	At    time.Time `yaml:"at"`
}

type outer struct {
	Name    string        `yaml:"name"`
	Wait    time.Duration `yaml:"wait"`
	Count   int           `yaml:"count"`
	Version uint64        `yaml:"version"`
	Inner   inner         `yaml:"inner"`
	Items   []inner       `yaml:"items"`
	Flags   []bool        `yaml:"flags"`
	Derived []string      `yaml:"-"`
}

var _ = Describe("Decode", func() {
	It("decodes every kind of value and keeps fields that the document does not set", func() {
		out := outer{Name: "kept", Count: 1}
		r := strictyaml.Decode([]byte("wait: 1m30s\ncount: 7\ninner: {ratio: 2}\nitems:\n  - at: 2026-01-31T12:00:00Z\n  - ratio: 0.5\nflags: [true, false]\n"), &out)
		Expect(r.Problems).To(BeEmpty())
		Expect(out).To(Equal(outer{
			Name: "kept", Wait: 90 * time.Second, Count: 7, Inner: inner{Ratio: 2},
			Items: []inner{{At: time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)}, {Ratio: 0.5}}, Flags: []bool{true, false},
		}))
		Expect([]int{r.Line("count"), r.Line("items[1].ratio"), r.Line("items[1].at"), r.Line("items[9]")}).To(Equal([]int{2, 6, 6, 4}))
	})

	// Guards against a stated zero that is taken for an omitted value and replaced by a default.
	It("tells values that the document has from those that it omits", func() {
		r := strictyaml.Decode([]byte("count: 0\nitems: [{ratio: x}]\n"), &outer{})
		Expect([]bool{r.Has("count"), r.Has("items[0].ratio")}).To(HaveEach(true))
		Expect([]bool{r.Has("name"), r.Has("items[0].at"), r.Has("items[1]")}).To(HaveEach(false))
	})

	DescribeTable("reports the path and line of", func(text string, want ...string) {
		var lines []string
		for _, p := range strictyaml.Decode([]byte(text), &outer{}).Problems {
			lines = append(lines, p.String())
		}
		Expect(lines).To(Equal(want))
	},
		Entry("several problems", "nmae: x\ncount: 1.5\nitems:\n  - {ratio: high}\n  - 3\n",
			"line 1: nmae: unknown key",
			"line 2: count: want a whole number, got float",
			"line 4: items[0].ratio: want a finite number, got string",
			"line 5: items[1]: want a mapping, got int"),
		Entry("the key - of a field that is not decoded", `"-": [x]`, "line 1: -: unknown key"),
		Entry("an alias", "name: &n x\nflags: *n\n", "line 1: name: anchors, aliases and tags are not allowed",
			"line 2: flags: anchors, aliases and tags are not allowed"),
		Entry("a tag", "name: !!str 5\n", "line 1: name: anchors, aliases and tags are not allowed"),
		Entry("a merge key", "inner:\n  <<: {ratio: 1}\n", "line 2: inner.<<: unknown key"),
		Entry("an empty document", "# nothing\n", "want one YAML document, got none"),
		Entry("a number beyond 64 bits", "count: 99999999999999999999\n", "line 1: count: want a whole number, got string"),
		Entry("a number that overflows int", "count: 9223372036854775808\n", "line 1: count: want a whole number: cannot unmarshal 9223372036854775808 into Go value of type int ( overflow )"),
		Entry("a negative version", "version: -1\n", "line 1: version: want a whole number: cannot unmarshal -1 into Go value of type uint64 ( overflow )"),
		Entry("not a number", "inner: {ratio: .nan}\n", "line 1: inner.ratio: want a finite number, got nan"),
	)

	It("does not panic on corrupted documents", func() {
		whole, err := os.ReadFile("../../examples/settings.yaml")
		Expect(err).NotTo(HaveOccurred())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := append([]byte{}, whole...)
			for range rapid.IntRange(1, 6).Draw(t, "edits") {
				at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
				text[at] = rapid.SampledFrom([]byte("\n\t :-[]{}&*!|>'\"%@`#,?\x00\xff0a")).Draw(t, "byte")
			}
			strictyaml.Decode(text, &outer{})
		})
	})
})
