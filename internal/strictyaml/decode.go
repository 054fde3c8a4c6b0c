package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Decode reads text into the struct that target points to. Fields are named by
// their yaml tag. They are structs, slices, strings, numbers, booleans,
// time.Duration or types that implement encoding.TextUnmarshaler. If UnmarshalText
// returns an error, its fault.Message is the message of the problem. A field that
// is null or has a problem keeps its value. docName names the document in messages,
// such as "note".
//
// The error is a *SyntaxError where text is not at most one plain YAML document.
// All other problems are recorded in the Document.
func Decode(text []byte, docName string, target any) (*Document, error) {
	body, err := parse(text, docName)
	if err != nil {
		return nil, err
	}
	d := &Document{
		empty:   body == nil,
		lines:   make(map[string]int),
		present: make(map[string]bool),
	}
	d.read(body, reflect.ValueOf(target).Elem(), "")
	return d, nil
}

func (d *Document) read(n ast.Node, v reflect.Value, path string) {
	if isNull(n) {
		return
	}
	d.present[path] = true
	switch {
	case unmarshalerOf(v) != nil:
		d.readScalar(n, v, path)
	case v.Kind() == reflect.Struct:
		d.readStruct(n, v, path)
	case v.Kind() == reflect.Slice:
		d.readSlice(n, v, path)
	default:
		d.readScalar(n, v, path)
	}
}

func (d *Document) readStruct(n ast.Node, v reflect.Value, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.addAt(lineOf(n), path, "must be a mapping, not %s", describe(n))
		return
	}
	fields := fieldsOf(v.Type())
	for it := m.MapRange(); it.Next(); {
		name := keyText(it.Key())
		field := join(path, name)
		d.lines[field] = lineOf(it.Key())
		index, known := fields[name]
		if !known {
			d.Add(field, "unknown field")
			continue
		}
		d.read(it.Value(), v.Field(index), field)
	}
}

func (d *Document) readSlice(n ast.Node, v reflect.Value, path string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addAt(lineOf(n), path, "must be a list, not %s", describe(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		field := fmt.Sprintf("%s[%d]", path, i)
		d.lines[field] = lineOf(item)
		if isNull(item) {
			d.Add(field, "is empty")
			continue
		}
		d.read(item, v.Index(i), field)
	}
}

func isNull(n ast.Node) bool {
	_, ok := n.(*ast.NullNode)
	return ok || n == nil
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

func keyText(n ast.MapKeyNode) string {
	if s, ok := n.(*ast.StringNode); ok {
		return s.Value
	}
	return n.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the index of each field of t by its name in YAML.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := FieldName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// FieldName returns the name of a struct field in YAML, or "" if it has none.
func FieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}
