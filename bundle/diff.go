package bundle

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// ChangeKind is the kind of a change to a value.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	// Reordered means that the items common to both lists are in a different
	// order.
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two bundles.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the path of the value. List items are identified by name, as in
	// "customers[clinic].weight".
	Path string `json:"path"`
	// Before and After are the values in YAML flow style. Before is empty for
	// an added value, After for a removed one. Key hashes are shortened.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the changes from a to b in document order. List items are matched by
// name.
func Diff(a, b *Bundle) []Change {
	d := &differ{}
	d.diffStruct("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, path, before, after string) {
	d.changes = append(d.changes, Change{Kind: kind, Path: path, Before: before, After: after})
}

func (d *differ) diffStruct(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		d.diffValue(strictyaml.JoinPath(path, strictyaml.FieldKey(field)), a.Field(i), b.Field(i), isSecret(field))
	}
}

func (d *differ) diffValue(path string, a, b reflect.Value, secret bool) {
	switch {
	case a.Kind() == reflect.Slice:
		d.diffList(path, a, b, secret)
	case !strictyaml.IsScalar(a.Type()):
		d.diffStruct(path, a, b)
	case a.Interface() != b.Interface():
		d.add(Changed, path, formatFlow(a, secret), formatFlow(b, secret))
	}
}

// diffList compares list items that have the same name. Names are unique within a
// list in a valid bundle.
func (d *differ) diffList(path string, a, b reflect.Value, secret bool) {
	before, after := indexItems(a), indexItems(b)
	for _, name := range before.names {
		itemPath := fmt.Sprintf("%s[%s]", path, redact(name, secret))
		counterpart, found := after.byName[name]
		switch {
		case !found:
			d.add(Removed, itemPath, formatFlow(before.byName[name], secret), "")
		case counterpart.Kind() == reflect.Struct:
			d.diffStruct(itemPath, before.byName[name], counterpart)
		}
	}
	for _, name := range after.names {
		if _, found := before.byName[name]; !found {
			itemPath := fmt.Sprintf("%s[%s]", path, redact(name, secret))
			d.add(Added, itemPath, "", formatFlow(after.byName[name], secret))
		}
	}
	d.diffOrder(path, before, after, secret)
}

// diffOrder adds a change if the items common to both lists are in a different
// order.
func (d *differ) diffOrder(path string, before, after namedItems, secret bool) {
	oldOrder, newOrder := before.commonNames(after), after.commonNames(before)
	if slices.Equal(oldOrder, newOrder) {
		return
	}
	d.add(Reordered, path, formatFlow(reflect.ValueOf(oldOrder), secret), formatFlow(reflect.ValueOf(newOrder), secret))
}

// namedItems is a list indexed by the names of its items.
type namedItems struct {
	names  []string
	byName map[string]reflect.Value
}

func indexItems(list reflect.Value) namedItems {
	out := namedItems{byName: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := itemName(list.Index(i))
		out.names = append(out.names, name)
		out.byName[name] = list.Index(i)
	}
	return out
}

// commonNames returns the names that are also in other, in the order of l.
func (l namedItems) commonNames(other namedItems) []string {
	var names []string
	for _, name := range l.names {
		if _, ok := other.byName[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// itemName returns the name of a list item. The name of a view is its version.
func itemName(item reflect.Value) string {
	if item.Kind() == reflect.String {
		return item.String()
	}
	if view, ok := item.Interface().(View); ok {
		return strconv.FormatUint(view.Version, 10)
	}
	return item.FieldByName("Name").String()
}

// isSecret reports whether the values of a field are shortened for display.
func isSecret(field reflect.StructField) bool { return field.Tag.Get("secret") == "true" }

func redact(text string, secret bool) string {
	if secret {
		return shortHash(text)
	}
	return text
}

// formatFlow returns v in YAML flow style, without fields that have a zero value.
func formatFlow(v reflect.Value, secret bool) string {
	switch typed := v.Interface().(type) {
	case time.Duration:
		return typed.String()
	case time.Time:
		return typed.UTC().Format(time.RFC3339Nano)
	}
	switch v.Kind() {
	case reflect.Struct:
		return formatFlowStruct(v)
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = formatFlow(v.Index(i), secret)
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.String:
		return quoteIfNeeded(redact(v.String(), secret))
	default:
		return fmt.Sprint(v.Interface())
	}
}

func formatFlowStruct(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !v.Field(i).IsZero() {
			parts = append(parts, strictyaml.FieldKey(field)+": "+formatFlow(v.Field(i), isSecret(field)))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// quoteIfNeeded quotes text that YAML flow style would not read as a plain string.
func quoteIfNeeded(text string) string {
	if text == "" || strings.ContainsAny(text, ":,[]{}#\"'\n") {
		return strconv.Quote(text)
	}
	return text
}
