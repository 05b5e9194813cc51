package bundle

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a bundle.
type Problem struct {
	// Path names the place, such as "pools[2].upstreams[0].address"; empty
	// for the document as a whole.
	Path string `json:"path"`
	// Line counts from 1; 0 when the line is not known.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String returns "line 12: pools[2].name: message".
func (p Problem) String() string {
	var parts []string
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	return strings.Join(append(parts, p.Message), ": ")
}

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

// problems collects the faults found in one document.
type problems struct {
	list []Problem
	// lines maps the paths of the document to their lines; nil when the
	// document is not at hand.
	lines map[string]int
}

// add notes a fault at path. The line is that of the path or, for a value that
// is missing, of the nearest value around it.
func (ps *problems) add(path, format string, args ...any) {
	ps.list = append(ps.list, Problem{Path: path, Line: ps.line(path), Message: fmt.Sprintf(format, args...)})
}

func (ps *problems) line(path string) int {
	for path != "" {
		if line, ok := ps.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return ps.lines[""]
}

// has says that a fault was noted at path or at something around it.
func (ps *problems) has(path string) bool {
	return slices.ContainsFunc(ps.list, func(p Problem) bool {
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && p.Path != "" && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// err returns the faults as a *CheckError, or nil when there are none.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	slices.SortStableFunc(ps.list, func(a, b Problem) int { return a.Line - b.Line })
	return &CheckError{Problems: ps.list}
}

// parentPath cuts the last key or index off.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
