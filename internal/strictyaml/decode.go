package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Decode decodes raw, which must hold one document, into the struct that v points to
// and reports every problem. Fields that the document does not set keep their values
// in v, so that the caller can set defaults; fields with a problem are undefined.
//
// Mappings are decoded into structs by their yaml tags, sequences into slices, and
// scalars into string, bool, int, int64, uint64, float64, time.Duration (with a
// unit) and time.Time (RFC 3339). Unknown keys, keys without a value, values of
// another kind, anchors, aliases, tags and additional documents are problems.
func Decode(raw []byte, v any) *Report {
	d := &decoder{&Report{lines: map[string]int{}}}
	root := d.parseDocument(raw)
	if root == nil {
		d.unreadable = true
		return d.Report
	}
	d.decodeValue(root, reflect.ValueOf(v).Elem(), "")
	return d.Report
}

// decoder walks a document together with the type that it is decoded into.
type decoder struct {
	*Report
}

// parseDocument returns the root of the only document in raw, or nil after it has
// recorded a problem.
func (d *decoder) parseDocument(raw []byte) ast.Node {
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		d.Problems = append(d.Problems, syntaxProblem(err))
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		d.AddProblem("", "want one YAML document, got none")
		return nil
	}
	if len(file.Docs) > 1 {
		d.recordLine("", file.Docs[1])
		d.AddProblem("", "want one YAML document, got %d", len(file.Docs))
		return nil
	}
	return file.Docs[0].Body
}

func syntaxProblem(err error) Problem {
	p := Problem{Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Message = located.GetMessage()
		p.Line = located.GetToken().Position.Line
	}
	return p
}

// decodeValue decodes node into v and records the line of each path.
func (d *decoder) decodeValue(node ast.Node, v reflect.Value, path string) {
	d.recordLine(path, node)
	switch node.(type) {
	case *ast.NullNode:
		d.AddProblem(path, "has no value")
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.AddProblem(path, "anchors, aliases and tags are not allowed")
		return
	}
	switch {
	case IsScalar(v.Type()):
		d.decodeScalar(node, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(node, v, path)
	default:
		d.decodeSequence(node, v, path)
	}
}

// recordLine records the line of path unless one is recorded already, so that the
// line of a key has precedence over the line of its value.
func (d *decoder) recordLine(path string, node ast.Node) {
	if _, ok := d.lines[path]; ok {
		return
	}
	if token := node.GetToken(); token != nil && token.Position != nil {
		d.lines[path] = token.Position.Line
	}
}

func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		d.AddProblem(path, "want a mapping, got %s", kindName(node))
		return
	}
	fields := fieldIndexes(v.Type())
	for _, pair := range pairs {
		key := pair.Key.GetToken().Value
		child := JoinPath(path, key)
		d.recordLine(child, pair.Key)
		index, known := fields[key]
		if !known {
			d.AddProblem(child, "unknown key")
			continue
		}
		d.decodeValue(pair.Value, v.Field(index), child)
	}
}

func (d *decoder) decodeSequence(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.AddProblem(path, "want a list, got %s", kindName(node))
		return
	}
	items := reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values))
	for i, item := range list.Values {
		d.decodeValue(item, items.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(items)
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// IsScalar reports whether t is decoded from one YAML scalar.
func IsScalar(t reflect.Type) bool {
	return t == timeType || t.Kind() != reflect.Struct && t.Kind() != reflect.Slice
}

// decodeScalar decodes one scalar. It checks the kind of the node first, because the
// library would convert a fraction to an integer or a number to a string.
func (d *decoder) decodeScalar(node ast.Node, v reflect.Value, path string) {
	if !acceptsNode(node, v.Type()) {
		d.AddProblem(path, "want %s, got %s", typeDescription(v.Type()), kindName(node))
		return
	}
	if err := convert(node, v); err != nil {
		d.AddProblem(path, "want %s: %s", typeDescription(v.Type()), shortMessage(err))
	}
}

// convert sets v from node. It parses times itself, because the library decodes any
// text as the zero time.
func convert(node ast.Node, v reflect.Value) error {
	if v.Type() != timeType {
		return yaml.NodeToValue(node, v.Addr().Interface(), yaml.Strict())
	}
	at, err := time.Parse(time.RFC3339, node.GetToken().Value)
	v.Set(reflect.ValueOf(at))
	return err
}

// acceptsNode reports whether a node of this kind may be decoded into t.
func acceptsNode(node ast.Node, t reflect.Type) bool {
	switch node.(type) {
	case *ast.StringNode:
		return t.Kind() == reflect.String || t == durationType || t == timeType
	case *ast.BoolNode:
		return t.Kind() == reflect.Bool
	case *ast.IntegerNode:
		return t != durationType && (t.Kind() == reflect.Float64 || t.Kind() == reflect.Int || t.Kind() == reflect.Int64 || t.Kind() == reflect.Uint64)
	case *ast.FloatNode:
		return t.Kind() == reflect.Float64
	default:
		return false
	}
}

// fieldIndexes maps the YAML keys of a struct to the indexes of its fields.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := FieldKey(t.Field(i)); key != "" && key != "-" {
			fields[key] = i
		}
	}
	return fields
}

// FieldKey returns the YAML key of a struct field; "-" means that the field is not
// decoded.
func FieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}

func kindName(node ast.Node) string { return strings.ToLower(node.Type().YAMLName()) }

func typeDescription(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration with its unit, such as 250ms"
	case t == timeType:
		return "a time in RFC 3339, such as 2026-01-31T12:00:00Z"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a finite number"
	case t.Kind() == reflect.String:
		return "a string in quotes"
	default:
		return "a whole number"
	}
}

func shortMessage(err error) string {
	var located yaml.Error
	if errors.As(err, &located) {
		return located.GetMessage()
	}
	return err.Error()
}

// JoinPath returns the path of key inside path.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
