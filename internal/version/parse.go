package version

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// MaxNoteSize is the largest release note, in bytes of YAML.
	MaxNoteSize = 1 << 20
	// maxNesting bounds brackets within brackets, and list items that begin on
	// one line: the parser takes time in the square of it.
	maxNesting = 16
)

// ParseNote reads a release note from YAML and checks everything that can be
// told from the note alone. The NoteInvalid error names every problem, each
// with its line and field.
func ParseNote(text []byte) (*Note, error) {
	if len(text) > MaxNoteSize {
		return nil, fault.New(fault.NoteInvalid, "the note has %d bytes, the limit is %d", len(text), MaxNoteSize)
	}
	body, err := parseDocument(text)
	if err != nil {
		return nil, err
	}
	r := reader{
		lines:   make(map[string]int),
		present: make(map[string]bool),
		failed:  make(map[string]bool),
	}
	n := new(Note)
	r.read(body, reflect.ValueOf(n).Elem(), "")
	r.presence(n)
	n.setDefaults()
	n.validate(&r.problems, r.lines, r.failed)
	if err := r.problems.asError(); err != nil {
		return nil, err
	}
	return n, nil
}

// parseDocument returns the content of the only YAML document in text.
func parseDocument(text []byte) (ast.Node, error) {
	tokens := lexer.Tokenize(string(text))
	if err := checkTokens(tokens); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, fault.New(fault.NoteInvalid, "%s", yaml.FormatError(err, false, false))
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) != 1 {
		return nil, fault.New(fault.NoteInvalid, "the file holds %d YAML documents, a note is exactly one", len(bodies))
	}
	return bodies[0], nil
}

// checkTokens refuses what a note has no use for and a parser pays dearly for.
func checkTokens(tokens token.Tokens) error {
	brackets := 0
	items := 0
	line := 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line = t.Position.Line
			items = 0
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType:
			return fault.New(fault.NoteInvalid, "line %d: anchors, aliases, tags and complex keys are not allowed in a note", line)
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets--
		case token.SequenceEntryType:
			items++
		}
		if brackets > maxNesting || items > maxNesting {
			return fault.New(fault.NoteInvalid, "line %d: the note is nested too deeply", line)
		}
	}
	return nil
}

// reader fills a note from YAML nodes and notes every problem on the way.
type reader struct {
	problems problems
	// lines holds the line of each field by its path.
	lines map[string]int
	// present holds the paths of the fields that the note writes.
	present map[string]bool
	// failed holds the paths of the fields that could not be read.
	failed map[string]bool
}

func (r *reader) fail(n ast.Node, path, message string) {
	r.failed[path] = true
	r.problems.addAt(lineOf(n), path, message)
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

func (r *reader) read(n ast.Node, v reflect.Value, path string) {
	if _, null := n.(*ast.NullNode); null || n == nil {
		return
	}
	r.present[path] = true
	switch v.Kind() {
	case reflect.Struct:
		r.readStruct(n, v, path)
	case reflect.Slice:
		r.readSlice(n, v, path)
	default:
		r.readScalar(n, v, path)
	}
}

func (r *reader) readStruct(n ast.Node, v reflect.Value, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		r.fail(n, path, "must be a mapping")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool)
	for it := m.MapRange(); it.Next(); {
		name := keyText(it.Key())
		field := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			r.fail(it.Key(), field, "unknown field")
			continue
		case seen[name]:
			r.fail(it.Key(), field, "is written twice")
			continue
		}
		seen[name] = true
		r.lines[field] = lineOf(it.Key())
		r.read(it.Value(), v.Field(index), field)
	}
}

func (r *reader) readSlice(n ast.Node, v reflect.Value, path string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.fail(n, path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		field := fmt.Sprintf("%s[%d]", path, i)
		r.lines[field] = lineOf(item)
		if _, null := item.(*ast.NullNode); null {
			r.fail(item, field, "is empty")
			continue
		}
		r.read(item, v.Index(i), field)
	}
}

func (r *reader) readScalar(n ast.Node, v reflect.Value, path string) {
	var problem string
	switch target := v.Addr().Interface().(type) {
	case *time.Duration:
		problem = readDuration(n, target)
	case *Importance:
		problem = readImportance(n, target)
	default:
		problem = readPlain(n, v)
	}
	if problem != "" {
		r.fail(n, path, problem)
	}
}

func readDuration(n ast.Node, d *time.Duration) string {
	text, ok := textOf(n)
	if !ok {
		return "must be a duration such as 1500ms"
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return "must be a duration such as 1500ms"
	}
	*d = parsed
	return ""
}

func readImportance(n ast.Node, i *Importance) string {
	text, ok := textOf(n)
	if !ok || i.UnmarshalText([]byte(text)) != nil {
		return "must be critical, high, normal or low"
	}
	return ""
}

// readPlain reads a text, a number, or true or false. It doesn't convert one
// to the other.
func readPlain(n ast.Node, v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		text, ok := textOf(n)
		if !ok {
			return "must be a text; write it in quotes"
		}
		v.SetString(text)
		return ""
	case reflect.Bool:
		return readAs[*ast.BoolNode](n, v, "must be true or false")
	case reflect.Float64:
		if _, whole := n.(*ast.IntegerNode); whole {
			return readAs[*ast.IntegerNode](n, v, "must be a number")
		}
		return readAs[*ast.FloatNode](n, v, "must be a number")
	default:
		return readAs[*ast.IntegerNode](n, v, "must be a whole number in range")
	}
}

func readAs[N ast.Node](n ast.Node, v reflect.Value, problem string) string {
	if _, ok := n.(N); !ok {
		return problem
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		return problem
	}
	return ""
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

// fieldsOf returns the index of each field by its name in YAML.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// yamlName returns the name of a field in YAML, empty where it has none.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// presence demands fields that must be written, and sets defaults where a zero
// that is written differs from a field that is not.
func (r *reader) presence(n *Note) {
	r.presenceIn("added", &n.Added)
	r.presenceIn("changed", &n.Changed)
}

func (r *reader) presenceIn(section string, e *Entries) {
	for i := range e.Routes {
		if !r.present[fmt.Sprintf("%s.routes[%d].retries", section, i)] {
			e.Routes[i].Retries = DefaultRetries
		}
	}
	r.demandInService(section+".failure_domains", len(e.FailureDomains))
	r.demandInService(section+".targets", len(e.Targets))
}

func (r *reader) demandInService(section string, count int) {
	for i := range count {
		item := fmt.Sprintf("%s[%d]", section, i)
		if r.present[item] && !r.present[item+".in_service"] {
			r.problems.addAt(r.lines[item], item+".in_service", "must be written as true or false")
		}
	}
}
