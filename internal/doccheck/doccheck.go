// Package doccheck lets tests hold the documentation to the code.
package doccheck

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
)

// Keys returns the YAML paths of every value in a struct, such as
// "pools[].upstreams[].name", in the order of its fields.
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

// isSection tells a struct with keys from a value such as a time.
func isSection(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && t.NumField() > 0 && t.Field(0).Tag.Get("yaml") != ""
}

// firstCell matches a table row that starts with a key in backquotes.
var firstCellPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// ListedKeys returns the first cells of the table rows in one section of a
// Markdown file. heading is the section's heading line.
func ListedKeys(file, heading string) ([]string, error) {
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
