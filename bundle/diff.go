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

// ChangeKind says what happened to a value.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	// Reordered lists hold the same items in another order.
	Reordered ChangeKind = "reordered"
)

// Change is one difference between two bundles.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path names the place; items of lists are named by their name, such as
	// "customers[clinic].weight".
	Path string `json:"path"`
	// Before and After are YAML in flow form; Before is empty for what was
	// added, After for what was removed. Key hashes are shortened.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns one readable line.
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

// Diff returns what changed from a to b, in the order of the document. Lists
// are compared by the names of their items.
func Diff(a, b *Bundle) []Change {
	d := &differ{}
	d.structure("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, path, before, after string) {
	d.changes = append(d.changes, Change{Kind: kind, Path: path, Before: before, After: after})
}

func (d *differ) structure(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		d.value(strictyaml.JoinPath(path, strictyaml.FieldKey(field)), a.Field(i), b.Field(i), isSecret(field))
	}
}

func (d *differ) value(path string, a, b reflect.Value, secret bool) {
	switch {
	case a.Kind() == reflect.Slice:
		d.list(path, a, b, secret)
	case !strictyaml.IsScalar(a.Type()):
		d.structure(path, a, b)
	case a.Interface() != b.Interface():
		d.add(Changed, path, flow(a, secret), flow(b, secret))
	}
}

// list compares items of the same name; an item's name is unique in its list
// once a bundle is checked.
func (d *differ) list(path string, a, b reflect.Value, secret bool) {
	before, after := itemsOf(a), itemsOf(b)
	for _, name := range before.names {
		place := fmt.Sprintf("%s[%s]", path, shown(name, secret))
		other, kept := after.byName[name]
		switch {
		case !kept:
			d.add(Removed, place, flow(before.byName[name], secret), "")
		case other.Kind() == reflect.Struct:
			d.structure(place, before.byName[name], other)
		}
	}
	for _, name := range after.names {
		if _, old := before.byName[name]; !old {
			place := fmt.Sprintf("%s[%s]", path, shown(name, secret))
			d.add(Added, place, "", flow(after.byName[name], secret))
		}
	}
	d.order(path, before, after, secret)
}

// order notes a list whose common items stand in another order.
func (d *differ) order(path string, before, after items, secret bool) {
	left, right := before.common(after), after.common(before)
	if slices.Equal(left, right) {
		return
	}
	d.add(Reordered, path, flow(reflect.ValueOf(left), secret), flow(reflect.ValueOf(right), secret))
}

// items is a list by the names of its items.
type items struct {
	names  []string
	byName map[string]reflect.Value
}

func itemsOf(list reflect.Value) items {
	out := items{byName: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := nameOf(list.Index(i))
		out.names = append(out.names, name)
		out.byName[name] = list.Index(i)
	}
	return out
}

// common returns the names that other has too, in the order of l.
func (l items) common(other items) []string {
	var names []string
	for _, name := range l.names {
		if _, ok := other.byName[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// nameOf returns the name of a list item; views go by their version.
func nameOf(item reflect.Value) string {
	if item.Kind() == reflect.String {
		return item.String()
	}
	if view, ok := item.Interface().(View); ok {
		return strconv.FormatUint(view.Version, 10)
	}
	return item.FieldByName("Name").String()
}

// isSecret marks the fields whose values are shortened wherever they are
// shown.
func isSecret(field reflect.StructField) bool { return field.Tag.Get("secret") == "true" }

func shown(text string, secret bool) string {
	if secret {
		return shortHash(text)
	}
	return text
}

// flow returns v as YAML in flow form, without the fields that are zero.
func flow(v reflect.Value, secret bool) string {
	switch typed := v.Interface().(type) {
	case time.Duration:
		return typed.String()
	case time.Time:
		return typed.UTC().Format(time.RFC3339Nano)
	}
	switch v.Kind() {
	case reflect.Struct:
		return flowStruct(v)
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = flow(v.Index(i), secret)
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case reflect.String:
		return quoteIfNeeded(shown(v.String(), secret))
	default:
		return fmt.Sprint(v.Interface())
	}
}

func flowStruct(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !v.Field(i).IsZero() {
			parts = append(parts, strictyaml.FieldKey(field)+": "+flow(v.Field(i), isSecret(field)))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}

// quoteIfNeeded quotes what flow form would read as something else.
func quoteIfNeeded(text string) string {
	if text == "" || strings.ContainsAny(text, ":,[]{}#\"'\n") {
		return strconv.Quote(text)
	}
	return text
}
