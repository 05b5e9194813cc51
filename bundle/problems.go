package bundle

import (
	"fmt"
	"strings"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// Problem is one validation problem of a bundle.
type Problem = strictyaml.Problem

// CheckError holds all validation problems of a bundle, ordered by line.
type CheckError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *CheckError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "bundle: %d problem(s)", len(e.Problems))
	for _, p := range e.Problems {
		text.WriteString("\n  " + p.String())
	}
	return text.String()
}

// SetLines sets the line numbers of the problems. raw is the document that their
// paths refer to.
func (e *CheckError) SetLines(raw []byte) {
	r := strictyaml.Decode(raw, &Bundle{})
	for i := range e.Problems {
		e.Problems[i].Line = r.Line(e.Problems[i].Path)
	}
}

// checkError returns the problems as a *CheckError, or nil if there are none.
func checkError(r *strictyaml.Report) error {
	if len(r.Problems) == 0 {
		return nil
	}
	r.Sort()
	return &CheckError{Problems: r.Problems}
}
