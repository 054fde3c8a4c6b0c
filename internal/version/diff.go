package version

import (
	"strings"

	"github.com/goccy/go-yaml"
)

// Diff returns the changes from before to after, ordered by entry kind and by
// name within a kind.
func Diff(before, after *State) []Change {
	a, b := before.Entries(), after.Entries()
	var changes []Change
	changes = append(changes, diffKind("team", a.Teams, b.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffKind("key", a.Keys, b.Keys, func(k Key) string { return k.ID })...)
	changes = append(changes, diffKind("route", a.Routes, b.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, diffKind("failure domain", a.FailureDomains, b.FailureDomains, func(d FailureDomain) string { return d.Name })...)
	changes = append(changes, diffKind("target", a.Targets, b.Targets, func(t Target) string { return targetID(t.Service, t.Name) })...)
	changes = append(changes, diffKind("service", a.Services, b.Services, func(v Service) string { return v.Name })...)
	changes = append(changes, diffKind("limits", limitsList(a), limitsList(b), func(Limits) string { return "limits" })...)
	return changes
}

func limitsList(e Entries) []Limits {
	if e.Limits == nil {
		return nil
	}
	return []Limits{*e.Limits}
}

func diffKind[V any](kind string, before, after []V, name func(V) string) []Change {
	oldText := textByName(before, name)
	newText := textByName(after, name)
	names := make(map[string]string, len(oldText)+len(newText))
	for n := range oldText {
		names[n] = n
	}
	for n := range newText {
		names[n] = n
	}
	var changes []Change
	for _, n := range sortedValues(names) {
		if c, differs := compare(oldText, newText, n); differs {
			c.Kind = kind
			changes = append(changes, c)
		}
	}
	return changes
}

func compare(oldText, newText map[string]string, name string) (Change, bool) {
	before, had := oldText[name]
	after, has := newText[name]
	c := Change{Action: Changed, Name: name, Before: before, After: after}
	switch {
	case !had:
		c.Action = Added
	case !has:
		c.Action = Withdrawn
	case before == after:
		return Change{}, false
	}
	return c, true
}

// textByName returns the YAML of the entries of each name. For an entry that cannot be
// encoded, it returns the error message instead.
func textByName[V any](entries []V, name func(V) string) map[string]string {
	m := make(map[string]string, len(entries))
	for _, v := range entries {
		text, err := yaml.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		if m[name(v)] != "" {
			m[name(v)] += "\n"
		}
		m[name(v)] += strings.TrimSpace(string(text))
	}
	return m
}
