// Package strictyaml reads one YAML document into a struct and names every
// problem of it with line and field, where the decoder of the YAML library
// stops at its first error. It converts no value to another type and refuses
// unknown fields, duplicate keys, null list items, anchors, aliases, tags, deep
// nesting and a second document.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document holds what is known about the fields of a document, by their paths
// such as "added.teams[0].name", and the problems found so far. The zero
// Document knows no field, so its problems have no line. It isn't safe for
// concurrent use.
type Document struct {
	empty    bool
	lines    map[string]int
	present  map[string]bool
	failed   map[string]bool
	problems []Problem
}

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Line counts from 1; it is 0 where the problem belongs to no line.
	Line int
	// Path is the path of the field, empty for the whole document.
	Path string
	// Message says what the field must be.
	Message string
}

// Empty reports whether the text held no document at all.
func (d *Document) Empty() bool { return d.empty }

// Present reports whether the field at path is written with a value other
// than null.
func (d *Document) Present(path string) bool { return d.present[path] }

// Line returns the line of the field at path or of the nearest one around it
// that is written, and 0 where there is none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// Add records a problem of the field at path, at the line that Line gives.
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

// Failed reports whether the field at path has a problem already.
func (d *Document) Failed(path string) bool { return d.failed[path] }

// Problems returns the problems in the order of their lines; those of one line
// keep the order in which they were found.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return sorted
}
