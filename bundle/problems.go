package bundle

import (
	"fmt"
	"strings"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// Problem is one fault of a bundle.
type Problem = strictyaml.Problem

// CheckError holds every fault of a bundle, in the order of their lines.
type CheckError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *CheckError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "bundle: %d problem(s)", len(e.Problems))
	for _, p := range e.Problems {
		text.WriteString("\n  " + p.String())
	}
	return text.String()
}

// Locate fills in the lines of the problems from the document that the paths
// refer to.
func (e *CheckError) Locate(raw []byte) {
	r := strictyaml.Decode(raw, &Bundle{})
	for i := range e.Problems {
		e.Problems[i].Line = r.Line(e.Problems[i].Path)
	}
}

// checkError returns the faults as a *CheckError, or nil when there are none.
func checkError(r *strictyaml.Report) error {
	if len(r.Problems) == 0 {
		return nil
	}
	r.Sort()
	return &CheckError{Problems: r.Problems}
}
