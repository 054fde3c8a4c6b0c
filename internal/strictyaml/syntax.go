package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds the depth of nested brackets, and the number of list items
// that begin on one line. The time that the parser takes is quadratic in both.
const maxNesting = 16

// SyntaxError says why a text is not one plain YAML document.
type SyntaxError struct {
	// Line counts from 1; it is 0 where Message itself contains the position, or
	// where the error has none.
	Line    int
	Message string
}

// Error returns the message, preceded by the line if it is known.
func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return e.Message
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Message)
}

// parse returns the body of the only document in text, or nil if there is none.
// The parser rejects duplicate keys.
func parse(text []byte, docName string) (ast.Node, *SyntaxError) {
	tokens := lexer.Tokenize(string(text))
	if err := checkTokens(tokens, docName); err != nil {
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
		message := fmt.Sprintf("the %s contains %d YAML documents, it must not contain more than one YAML document", docName, len(bodies))
		return nil, &SyntaxError{Message: message}
	}
}

// checkTokens rejects syntax that plain data does not need and that is expensive
// to parse.
func checkTokens(tokens token.Tokens, docName string) *SyntaxError {
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
			return &SyntaxError{line, "anchors, aliases, tags and complex keys are not allowed in a " + docName}
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets--
		case token.SequenceEntryType:
			items++
		}
		if brackets > maxNesting || items > maxNesting {
			return &SyntaxError{line, "the " + docName + " is nested too deeply"}
		}
	}
	return nil
}
