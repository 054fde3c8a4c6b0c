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

// rules say what the tags of the model demand, for people.
var rules = map[string]string{
	"required":  "must be written, and neither empty nor 0",
	"name":      "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', the first a letter or digit",
	"keyhash":   "must be sha256: and 64 lower-case hexadecimal digits",
	"keyname":   "must be the id of a key (16 hexadecimal digits) or its hash",
	"routepath": "must begin with / and not end with it, without empty segments, '%', '?', '#' and spaces",
	"target":    "must be service/instance",
	"unique":    "must not repeat an item",
}

var validation = newValidation()

func newValidation() *validator.Validate {
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

// isRoutePath leaves out dot segments, which servers resolve differently.
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

// Validate checks everything that can be told from the note alone, for a note
// that did not come from ParseNote. The NoteInvalid error names every problem.
func (n *Note) Validate() error {
	d := new(strictyaml.Document)
	n.validate(d)
	return problemsOf(d)
}

// validate adds the problems of n to d, apart from those of fields that have
// one already.
func (n *Note) validate(d *strictyaml.Document) {
	var broken validator.ValidationErrors
	if err := validation.Struct(n); errors.As(err, &broken) {
		for _, f := range broken {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			if !d.Failed(path) {
				d.Add(path, "%s", ruleOf(f))
			}
		}
	}
	for _, twice := range n.duplicates() {
		d.Add(twice.path, "%s", twice.message)
	}
}

func ruleOf(f validator.FieldError) string {
	if text, ok := rules[f.Tag()]; ok {
		return text
	}
	switch f.Tag() {
	case "gt":
		return "must be above " + f.Param()
	case "gte":
		return "must be at least " + f.Param()
	case "lte":
		return "must be at most " + f.Param()
	case "oneof":
		return "must be one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	default:
		return "does not fit the rule " + f.Tag()
	}
}

// duplicate is an entry that a note names more than once.
type duplicate struct {
	path    string
	message string
}

// duplicates returns the entries that stand twice in the note, whether in one
// section or in two.
func (n *Note) duplicates() []duplicate {
	var all []duplicate
	for _, sort := range sorts {
		seen := make(map[string]string)
		for _, e := range sort.named(n) {
			if e.name == "" {
				continue
			}
			if first, twice := seen[e.name]; twice {
				all = append(all, duplicate{e.path, fmt.Sprintf("%s %q stands at %s already", sort.name, e.name, first)})
				continue
			}
			seen[e.name] = e.path
		}
	}
	return all
}

// placed is the name of an entry and where it stands in the note.
type placed struct {
	name string
	path string
}

// sortOf describes one sort of entry of a note.
type sortOf struct {
	// name is how messages and changes call the sort.
	name string
	// named returns the entries that the note adds, changes or withdraws.
	named func(n *Note) []placed
}

var sorts = []sortOf{
	{"team", namedIn(
		func(e Entries) []Team { return e.Teams }, func(t Team) string { return t.Name },
		func(w Names) []string { return w.Teams }, "teams")},
	{"key", namedIn(
		func(e Entries) []Key { return e.Keys }, func(k Key) string { return KeyID(k.Hash) },
		func(w Names) []string { return keyIDs(w.Keys) }, "keys")},
	{"route", namedIn(
		func(e Entries) []Route { return e.Routes }, func(r Route) string { return r.Name },
		func(w Names) []string { return w.Routes }, "routes")},
	{"failure domain", namedIn(
		func(e Entries) []FailureDomain { return e.FailureDomains }, func(d FailureDomain) string { return d.Name },
		func(w Names) []string { return w.FailureDomains }, "failure_domains")},
	{"target", namedIn(
		func(e Entries) []Target { return e.Targets }, func(t Target) string { return targetID(t.Service, t.Name) },
		func(w Names) []string { return w.Targets }, "targets")},
	{"service", namedIn(
		func(e Entries) []Service { return e.Services }, func(v Service) string { return v.Name },
		func(w Names) []string { return w.Services }, "services")},
}

func keyIDs(names []string) []string {
	ids := make([]string, 0, len(names))
	for _, name := range names {
		ids = append(ids, KeyID(name))
	}
	return ids
}

func namedIn[V any](entries func(Entries) []V, name func(V) string, withdrawn func(Names) []string, field string) func(*Note) []placed {
	return func(n *Note) []placed {
		var all []placed
		for i, v := range entries(n.Added) {
			all = append(all, placed{name(v), fmt.Sprintf("added.%s[%d]", field, i)})
		}
		for i, v := range entries(n.Changed) {
			all = append(all, placed{name(v), fmt.Sprintf("changed.%s[%d]", field, i)})
		}
		for i, s := range withdrawn(n.Withdrawn) {
			all = append(all, placed{s, fmt.Sprintf("withdrawn.%s[%d]", field, i)})
		}
		return all
	}
}
