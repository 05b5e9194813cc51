package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Path locates the value, such as "pools[2].upstreams[0].address"; empty
	// for the document as a whole.
	Path string `json:"path"`
	// Line counts from 1; 0 if the line is unknown.
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

// Report collects the problems of one document. The zero Report can be used where
// no source text is available; its problems have no line numbers.
type Report struct {
	Problems []Problem
	// lines maps the paths of the document to their lines; nil if no source
	// text is available.
	lines map[string]int
	// unreadable is set if the text could not be parsed into one document.
	unreadable bool
}

// Unreadable reports whether no value could be decoded. Validating the values would
// then only report every required one as missing.
func (r *Report) Unreadable() bool { return r.unreadable }

// AddProblem records a problem at path. Its line is that of the path or, if the value is
// missing, of the nearest enclosing value.
func (r *Report) AddProblem(path, format string, args ...any) {
	r.Problems = append(r.Problems, Problem{Path: path, Line: r.Line(path), Message: fmt.Sprintf(format, args...)})
}

// Line returns the line of path, or of the nearest enclosing value; 0 if neither is
// known.
func (r *Report) Line(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return r.lines[""]
}

// Has reports whether the document has a value at path, also if the value has a problem.
// It tells a zero that is stated from an omitted value.
func (r *Report) Has(path string) bool {
	_, ok := r.lines[path]
	return ok
}

// HasProblemAt reports whether a problem was recorded at path or at a value that encloses it.
func (r *Report) HasProblemAt(path string) bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool {
		rest, ok := strings.CutPrefix(path, p.Path)
		return ok && p.Path != "" && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// parentPath removes the last key or index from path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// HasProblemWithin reports whether a problem was recorded at a value inside path.
func (r *Report) HasProblemWithin(path string) bool {
	for _, p := range r.Problems {
		if strings.HasPrefix(p.Path, path+".") || strings.HasPrefix(p.Path, path+"[") {
			return true
		}
	}
	return false
}

// Sort sorts the problems by line; problems of the same line keep their order.
func (r *Report) Sort() {
	slices.SortStableFunc(r.Problems, func(a, b Problem) int { return a.Line - b.Line })
}
