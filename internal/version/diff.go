package version

import (
	"strings"

	"github.com/goccy/go-yaml"
)

// Diff returns what leads from before to after: by sort of entry, and by name
// within a sort.
func Diff(before, after *State) []Change {
	a, b := before.Entries(), after.Entries()
	var changes []Change
	changes = append(changes, diffSort("team", a.Teams, b.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffSort("key", a.Keys, b.Keys, func(k Key) string { return k.ID })...)
	changes = append(changes, diffSort("route", a.Routes, b.Routes, func(r Route) string { return r.Name })...)
	changes = append(changes, diffSort("failure domain", a.FailureDomains, b.FailureDomains, func(d FailureDomain) string { return d.Name })...)
	changes = append(changes, diffSort("target", a.Targets, b.Targets, func(t Target) string { return targetID(t.Service, t.Name) })...)
	changes = append(changes, diffSort("service", a.Services, b.Services, func(v Service) string { return v.Name })...)
	changes = append(changes, diffSort("limits", limitsList(a), limitsList(b), func(Limits) string { return "limits" })...)
	return changes
}

func limitsList(e Entries) []Limits {
	if e.Limits == nil {
		return nil
	}
	return []Limits{*e.Limits}
}

func diffSort[V any](sort string, before, after []V, name func(V) string) []Change {
	old := textByName(before, name)
	now := textByName(after, name)
	names := make(map[string]string, len(old)+len(now))
	for n := range old {
		names[n] = n
	}
	for n := range now {
		names[n] = n
	}
	var changes []Change
	for _, n := range sortedValues(names) {
		if c, differs := compare(old, now, n); differs {
			c.Sort = sort
			changes = append(changes, c)
		}
	}
	return changes
}

func compare(old, now map[string]string, name string) (Change, bool) {
	before, had := old[name]
	after, has := now[name]
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

// textByName returns each entry as YAML.
func textByName[V any](entries []V, name func(V) string) map[string]string {
	m := make(map[string]string, len(entries))
	for _, v := range entries {
		text, err := yaml.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		m[name(v)] = strings.TrimSpace(string(text))
	}
	return m
}
