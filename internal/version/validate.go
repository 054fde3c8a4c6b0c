package version

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/teaselrack/teaselrack/internal/strictyaml"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	keyHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	keyIDPattern   = regexp.MustCompile(`^[0-9a-f]{16}$`)
	routePattern   = regexp.MustCompile(`^/$|^(/[^/?#%\s]+)+$`)
)

// ruleMessages holds the message for each validation rule of the model.
var ruleMessages = map[string]string{
	"required":  "must be set, and neither empty nor 0",
	"name":      "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', the first a letter or digit",
	"keyhash":   "must be sha256: and 64 lower-case hexadecimal digits",
	"keyname":   "must be the id of a key (16 hexadecimal digits) or its hash",
	"routepath": "must begin with / and not end with it, without empty segments, '%', '?', '#' and spaces",
	"target":    "must be service/instance",
	"unique":    "must not repeat an item",
}

var noteValidator = newNoteValidator()

func newNoteValidator() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(strictyaml.FieldName)
	checks := map[string]func(string) bool{
		"name":      namePattern.MatchString,
		"keyhash":   keyHashPattern.MatchString,
		"keyname":   isKeyName,
		"routepath": isRoutePath,
		"target":    isTargetID,
	}
	for tag, check := range checks {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return check(f.Field().String()) })
		if err != nil {
			panic(err)
		}
	}
	return v
}

func isKeyName(s string) bool {
	return keyIDPattern.MatchString(s) || keyHashPattern.MatchString(s)
}

func isTargetID(s string) bool {
	service, instance, ok := strings.Cut(s, "/")
	return ok && namePattern.MatchString(service) && namePattern.MatchString(instance)
}

// isRoutePath reports whether s is a valid route path. Dot segments are not
// allowed, because servers resolve them differently.
func isRoutePath(s string) bool {
	if !routePattern.MatchString(s) {
		return false
	}
	for segment := range strings.SplitSeq(s, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// Validate checks every rule that depends on the note alone, for a note that did
// not come from ParseNote. The NoteInvalid error names every problem.
func (n *Note) Validate() error {
	d := new(strictyaml.Document)
	n.validate(d)
	return problemsOf(d)
}

// validate adds the problems of n to d. It does not report a violated rule for a
// field that has a problem already.
func (n *Note) validate(d *strictyaml.Document) {
	var failed validator.ValidationErrors
	if err := noteValidator.Struct(n); errors.As(err, &failed) {
		for _, f := range failed {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			if !d.Failed(path) {
				d.Add(path, "%s", ruleMessage(f))
			}
		}
	}
	for _, dup := range n.duplicates() {
		d.Add(dup.path, "%s", dup.message)
	}
}

func ruleMessage(f validator.FieldError) string {
	if text, ok := ruleMessages[f.Tag()]; ok {
		return text
	}
	switch f.Tag() {
	case "gt":
		return "must be greater than " + f.Param()
	case "gte":
		return "must be at least " + f.Param()
	case "lte":
		return "must be at most " + f.Param()
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	default:
		return "violates the rule " + f.Tag()
	}
}

// duplicate is an entry that a note names more than once.
type duplicate struct {
	path    string
	message string
}

// duplicates returns the entries that the note names more than once, in one
// section or in several.
func (n *Note) duplicates() []duplicate {
	var all []duplicate
	for _, kind := range entryKinds {
		seen := make(map[string]string)
		for _, e := range kind.refs(n) {
			if e.name == "" {
				continue
			}
			if first, found := seen[e.name]; found {
				all = append(all, duplicate{e.path, fmt.Sprintf("%s %q is already listed at %s", kind.name, e.name, first)})
				continue
			}
			seen[e.name] = e.path
		}
	}
	return all
}

// entryRef is the name of an entry and its path in the note.
type entryRef struct {
	name string
	path string
}

// entryKind describes one kind of entry of a note.
type entryKind struct {
	// name is the name of the kind in messages and changes.
	name string
	// refs returns the entries that the note adds, changes or withdraws.
	refs func(n *Note) []entryRef
}

var entryKinds = []entryKind{
	{"team", refsIn(
		func(e Entries) []Team { return e.Teams }, func(t Team) string { return t.Name },
		func(w WithdrawnNames) []string { return w.Teams }, "teams")},
	{"key", refsIn(
		func(e Entries) []Key { return e.Keys }, func(k Key) string { return KeyID(k.Hash) },
		func(w WithdrawnNames) []string { return keyIDs(w.Keys) }, "keys")},
	{"route", refsIn(
		func(e Entries) []Route { return e.Routes }, func(r Route) string { return r.Name },
		func(w WithdrawnNames) []string { return w.Routes }, "routes")},
	{"failure domain", refsIn(
		func(e Entries) []FailureDomain { return e.FailureDomains }, func(d FailureDomain) string { return d.Name },
		func(w WithdrawnNames) []string { return w.FailureDomains }, "failure_domains")},
	{"target", refsIn(
		func(e Entries) []Target { return e.Targets }, func(t Target) string { return targetID(t.Service, t.Name) },
		func(w WithdrawnNames) []string { return w.Targets }, "targets")},
	{"service", refsIn(
		func(e Entries) []Service { return e.Services }, func(v Service) string { return v.Name },
		func(w WithdrawnNames) []string { return w.Services }, "services")},
}

func keyIDs(names []string) []string {
	ids := make([]string, 0, len(names))
	for _, name := range names {
		ids = append(ids, KeyID(name))
	}
	return ids
}

func refsIn[V any](entries func(Entries) []V, name func(V) string, withdrawn func(WithdrawnNames) []string, field string) func(*Note) []entryRef {
	return func(n *Note) []entryRef {
		var all []entryRef
		for i, v := range entries(n.Added) {
			all = append(all, entryRef{name(v), fmt.Sprintf("added.%s[%d]", field, i)})
		}
		for i, v := range entries(n.Changed) {
			all = append(all, entryRef{name(v), fmt.Sprintf("changed.%s[%d]", field, i)})
		}
		for i, s := range withdrawn(n.Withdrawn) {
			all = append(all, entryRef{s, fmt.Sprintf("withdrawn.%s[%d]", field, i)})
		}
		return all
	}
}
