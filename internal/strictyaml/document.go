// Package strictyaml reads one YAML document into a struct and reports every
// problem with its line and field; the decoder of the YAML library stops at the
// first error. It does not convert values to other types, and rejects unknown
// fields, duplicate keys, null list items, anchors, aliases, tags, deep nesting
// and a second document.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document holds the lines and presence of the fields of a document, by paths
// such as "added.teams[0].name", and the problems detected so far. The zero
// Document has no fields, so its problems have no line. A Document is not safe
// for concurrent use.
type Document struct {
	empty    bool
	lines    map[string]int
	present  map[string]bool
	failed   map[string]bool
	problems []Problem
}

// Problem is one problem of a document.
type Problem struct {
	// Line counts from 1; it is 0 where the problem has no line.
	Line int
	// Path is the path of the field, empty for the whole document.
	Path string
	// Message says what is wrong with the field.
	Message string
}

// Empty reports whether the text contained no document.
func (d *Document) Empty() bool { return d.empty }

// Present reports whether the document sets the field at path to a value other
// than null.
func (d *Document) Present(path string) bool { return d.present[path] }

// Line returns the line of the field at path, or of its nearest parent that the
// document contains, or 0 if there is none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// Add records a problem of the field at path, at the line that Line returns.
func (d *Document) Add(path, format string, args ...any) {
	d.addAt(d.Line(path), path, format, args...)
}

func (d *Document) addAt(line int, path, format string, args ...any) {
	if d.failed == nil {
		d.failed = make(map[string]bool)
	}
	d.failed[path] = true
	d.problems = append(d.problems, Problem{line, path, fmt.Sprintf(format, args...)})
}

// Failed reports whether a problem of the field at path has been recorded.
func (d *Document) Failed(path string) bool { return d.failed[path] }

// Problems returns the problems in the order of their lines. Problems of the same
// line keep the order in which they were recorded.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}
