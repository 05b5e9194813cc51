package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a document.
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

// Report collects the faults of one document. The zero Report is one of a
// document that is not at hand: it knows no lines.
type Report struct {
	Problems []Problem
	// lines maps the paths of the document to their lines; nil when the
	// document is not at hand.
	lines map[string]int
	// unreadable says that there was no document to read values from.
	unreadable bool
}

// Unreadable says that no value was read, so that a check of the values would
// only name what is missing.
func (r *Report) Unreadable() bool { return r.unreadable }

// Add notes a fault at path. The line is that of the path or, for a value that
// is missing, of the nearest value around it.
func (r *Report) AddProblem(path, format string, args ...any) {
	r.Problems = append(r.Problems, Problem{Path: path, Line: r.Line(path), Message: fmt.Sprintf(format, args...)})
}

// Line returns the line of path, or of the nearest value around it; 0 if that
// is not known.
func (r *Report) Line(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return r.lines[""]
}

// Has says that a fault was noted at path or at something around it.
func (r *Report) HasProblemAt(path string) bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool {
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && p.Path != "" && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// parentPath cuts the last key or index off.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// HasWithin says that a fault was noted at something inside path.
func (r *Report) HasProblemWithin(path string) bool {
	for _, p := range r.Problems {
		if strings.HasPrefix(p.Path, path+".") || strings.HasPrefix(p.Path, path+"[") {
			return true
		}
	}
	return false
}

// Sort puts the problems in the order of their lines.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Problems, func(a, b Problem) int { return a.Line - b.Line })
}
