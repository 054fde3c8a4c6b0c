package strictyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/teaselrack/teaselrack/internal/fault"
)

var durationType = reflect.TypeFor[time.Duration]()

// unmarshalerOf returns the address of v as an encoding.TextUnmarshaler, or nil if
// it does not implement the interface.
func unmarshalerOf(v reflect.Value) encoding.TextUnmarshaler {
	u, _ := v.Addr().Interface().(encoding.TextUnmarshaler)
	return u
}

func (d *Document) readScalar(n ast.Node, v reflect.Value, path string) {
	if u := unmarshalerOf(v); u != nil {
		d.readText(n, u, path)
		return
	}
	if want, ok := fill(n, v); !ok {
		d.addAt(lineOf(n), path, "must be %s, not %s", want, describe(n))
	}
}

func (d *Document) readText(n ast.Node, u encoding.TextUnmarshaler, path string) {
	text, ok := textOf(n)
	if !ok {
		d.addAt(lineOf(n), path, "must be text, not %s", describe(n))
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.addAt(lineOf(n), path, "%s", fault.Message(err))
	}
}

// fill sets v from n. It returns a description of what v accepts, and whether n
// was accepted.
func fill(n ast.Node, v reflect.Value) (want string, ok bool) {
	switch {
	case v.Type() == durationType:
		return "a duration such as 500ms or 2s", fillDuration(n, v)
	case v.Kind() == reflect.String:
		text, ok := textOf(n)
		if ok {
			v.SetString(text)
		}
		return "text", ok
	case v.Kind() == reflect.Bool:
		return "true or false", fillAs[*ast.BoolNode](n, v)
	case v.CanFloat():
		return "a number", fillAs[*ast.FloatNode](n, v) || fillAs[*ast.IntegerNode](n, v)
	default:
		return "a whole number in range", fillAs[*ast.IntegerNode](n, v)
	}
}

func fillDuration(n ast.Node, v reflect.Value) bool {
	text, ok := textOf(n)
	if !ok {
		return false
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return false
	}
	v.SetInt(int64(parsed))
	return true
}

// fillAs sets v from n if n is a node of type N whose value fits v, and reports
// whether it did.
func fillAs[N ast.Node](n ast.Node, v reflect.Value) bool {
	if _, ok := n.(N); !ok {
		return false
	}
	return yaml.NodeToValue(n, v.Addr().Interface()) == nil
}

func textOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	default:
		return "", false
	}
}

func describe(n ast.Node) string {
	switch n.(type) {
	case ast.MapNode:
		return "a mapping"
	case ast.ArrayNode:
		return "a list"
	}
	kind := strings.ToLower(n.Type().String())
	if n.GetToken() == nil {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, n.GetToken().Value)
}
