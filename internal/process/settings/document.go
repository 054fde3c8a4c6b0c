package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// document decodes one YAML file strictly. The decoder of the YAML library
// stops at its first error; this one goes on, so that an operator sees every
// problem of a file at once.
type document struct {
	file string
	// lines maps the path of each field that is present to its line.
	lines    map[string]int
	problems []problem
	// broken is true where the text is no YAML at all.
	broken bool
}

type problem struct {
	line int
	text string
}

func newDocument(file string) *document {
	return &document{file: file, lines: make(map[string]int)}
}

// add records a problem of the field at path. A field that is absent takes the
// line of the nearest section around it.
func (d *document) add(path, format string, args ...any) {
	line := d.lineOf(path)
	text := fmt.Sprintf("%s:%d: %s: %s", d.file, line, path, fmt.Sprintf(format, args...))
	d.problems = append(d.problems, problem{line, text})
}

func (d *document) lineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// failed reports whether the field at path already has a problem.
func (d *document) failed(path string) bool {
	prefix := fmt.Sprintf("%s:%d: %s: ", d.file, d.lineOf(path), path)
	return slices.ContainsFunc(d.problems, func(p problem) bool { return strings.HasPrefix(p.text, prefix) })
}

func (d *document) asError() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b problem) int { return cmp.Compare(a.line, b.line) })
	lines := make([]string, 0, len(d.problems))
	for _, p := range d.problems {
		lines = append(lines, p.text)
	}
	return fault.New(fault.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

// decode reads text into the struct that target points to.
func (d *document) decode(text []byte, target any) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.broken = true
		d.problems = append(d.problems, problem{0, d.file + ": " + yaml.FormatError(err, false, false)})
		return
	}
	if len(file.Docs) > 1 {
		d.problems = append(d.problems, problem{0, d.file + ": more than one YAML document"})
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return
	}
	d.value(file.Docs[0].Body, reflect.ValueOf(target).Elem(), "")
}

func (d *document) value(node ast.Node, v reflect.Value, path string) {
	if node.Type() == ast.NullType {
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		d.mapping(node, v, path)
	case v.Kind() == reflect.Slice:
		d.sequence(node, v, path)
	default:
		d.scalar(node, v, path)
	}
}

func (d *document) mapping(node ast.Node, v reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.add(cmp.Or(path, "settings"), "must be a section of fields, not %s", describe(node))
		return
	}
	fields := fieldsOf(v)
	for entries := m.MapRange(); entries.Next(); {
		name := entries.Key().String()
		child := join(path, name)
		d.lines[child] = entries.Key().GetToken().Position.Line
		field, known := fields[name]
		if !known {
			d.add(child, "unknown field")
			continue
		}
		d.value(entries.Value(), field, child)
	}
}

func (d *document) sequence(node ast.Node, v reflect.Value, path string) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(path, "must be a list, not %s", describe(node))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values))
	for i, item := range seq.Values {
		child := fmt.Sprintf("%s[%d]", path, i)
		d.lines[child] = item.GetToken().Position.Line
		d.value(item, list.Index(i), child)
	}
	v.Set(list)
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *document) scalar(node ast.Node, v reflect.Value, path string) {
	want := wantedType(v)
	if !slices.Contains(want.nodes, node.Type()) {
		d.add(path, "must be %s, not %s", want.name, describe(node))
		return
	}
	if err := yaml.NodeToValue(node, v.Addr().Interface(), yaml.Strict()); err != nil {
		d.add(path, "must be %s, not %s", want.name, describe(node))
	}
}

// scalarType names what a scalar field accepts.
type scalarType struct {
	name  string
	nodes []ast.NodeType
}

func wantedType(v reflect.Value) scalarType {
	switch {
	case v.Type() == durationType:
		return scalarType{"a duration such as 500ms or 2s", []ast.NodeType{ast.StringType}}
	case v.Kind() == reflect.Bool:
		return scalarType{"true or false", []ast.NodeType{ast.BoolType}}
	case v.CanInt():
		return scalarType{"a whole number", []ast.NodeType{ast.IntegerType}}
	default:
		return scalarType{"text", []ast.NodeType{ast.StringType, ast.LiteralType}}
	}
}

func describe(node ast.Node) string {
	switch node.(type) {
	case ast.MapNode:
		return "a section"
	case ast.ArrayNode:
		return "a list"
	default:
		return fmt.Sprintf("%s %q", strings.ToLower(node.Type().String()), node.GetToken().Value)
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("yaml")] = v.Field(i)
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
