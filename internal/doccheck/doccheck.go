// Package doccheck helps tests verify that the documentation lists the same keys
// as the code.
package doccheck

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
)

// Keys returns the YAML path of every value in the struct document, such as
// "pools[].upstreams[].name", in field order. Fields tagged "-" are omitted.
func Keys(document any) []string { return yamlPaths(reflect.TypeOf(document), "") }

func yamlPaths(t reflect.Type, prefix string) []string {
	var paths []string
	for i := range t.NumField() {
		field := t.Field(i)
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if key == "-" {
			continue
		}
		path := prefix + key
		switch {
		case isSection(field.Type):
			paths = append(paths, yamlPaths(field.Type, path+".")...)
		case field.Type.Kind() == reflect.Slice && isSection(field.Type.Elem()):
			paths = append(paths, yamlPaths(field.Type.Elem(), path+"[].")...)
		default:
			paths = append(paths, path)
		}
	}
	return paths
}

// isSection reports whether t is a struct with YAML keys, as opposed to a struct
// that is decoded as one value, such as time.Time.
func isSection(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() > 0 && t.Field(0).Tag.Get("yaml") != ""
}

// firstCellPattern matches a Markdown table row whose first cell is a key in
// backquotes.
var firstCellPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// DocumentedKeys returns the first cells of the table rows in one section of a
// Markdown file. heading is the whole heading line of the section. It fails if the
// file cannot be read or has no such section.
func DocumentedKeys(file, heading string) ([]string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("doccheck: %w", err)
	}
	_, section, found := strings.Cut(string(raw), "\n"+heading+"\n")
	if !found {
		return nil, fmt.Errorf("doccheck: %s has no section %q", file, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []string
	for _, match := range firstCellPattern.FindAllStringSubmatch(section, -1) {
		listed = append(listed, match[1])
	}
	return listed, nil
}
