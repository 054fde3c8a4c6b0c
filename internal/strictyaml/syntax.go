package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds brackets within brackets, and list items that begin on one
// line: the parser takes time in the square of it.
const maxNesting = 16

// SyntaxError says why a text isn't one plain YAML document.
type SyntaxError struct {
	// Line counts from 1; it is 0 where Message names the place itself.
	Line    int
	Message string
}

// Error returns the message after its line.
func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Message)
}

// parse returns the content of the only document in text, nil where there is
// none. The parser refuses a key that is written twice.
func parse(text []byte, what string) (ast.Node, *SyntaxError) {
	tokens := lexer.Tokenize(string(text))
	if err := checkTokens(tokens, what); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, &SyntaxError{Message: yaml.FormatError(err, false, false)}
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return nil, nil
	case 1:
		return bodies[0], nil
	default:
		message := fmt.Sprintf("the %s holds %d YAML documents, it must not hold more than one YAML document", what, len(bodies))
		return nil, &SyntaxError{Message: message}
	}
}

// checkTokens refuses what plain data has no use for and a parser pays dearly
// for.
func checkTokens(tokens token.Tokens, what string) *SyntaxError {
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
			return &SyntaxError{line, "anchors, aliases, tags and complex keys are not allowed in a " + what}
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets--
		case token.SequenceEntryType:
			items++
		}
		if brackets > maxNesting || items > maxNesting {
			return &SyntaxError{line, "the " + what + " is nested too deeply"}
		}
	}
	return nil
}
