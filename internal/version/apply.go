package version

import (
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Apply returns the state after the note n and leaves s unchanged. The number
// of n must be one above the number of s. A repeat of the last note returns s,
// unless it carries an order. Errors: NoteGap, NoteConflict and NoteInvalid,
// and those of ApplyOrder for a note that carries an order. A note that fails
// has no partial effect.
func (s *State) Apply(n *Note) (*State, error) {
	if n.Order != nil {
		return s.applyNumberedOrder(n)
	}
	digest := n.Digest()
	switch {
	case n.Number == s.number && digest == s.noteDigest:
		return s, nil
	case n.Number == s.number:
		return nil, fault.New(fault.NoteConflict, "number %d is in force with digest %s, this note has %s", n.Number, s.noteDigest, digest)
	case n.Number != s.number+1:
		return nil, fault.New(fault.NoteGap, "the note has number %d, the number in force is %d", n.Number, s.number)
	}
	return s.merge(n, digest)
}

// applyNumberedOrder applies the order of a note that has been given a number.
func (s *State) applyNumberedOrder(n *Note) (*State, error) {
	if n.Number != s.number+1 {
		return nil, fault.New(fault.NoteGap, "the order has number %d, the number in force is %d", n.Number, s.number)
	}
	return s.ApplyOrder(n.Order)
}

func (s *State) merge(n *Note, digest string) (*State, error) {
	e := s.Entries()
	w := n.Withdrawn
	var errs problems
	e.Teams = mergeSection(&errs, "team", e.Teams, n.Added.Teams, n.Changed.Teams, w.Teams, func(t Team) []string { return []string{t.Name} })
	e.Keys = mergeSection(&errs, "key", e.Keys, n.Added.Keys, n.Changed.Keys, w.Keys, func(k Key) []string { return []string{k.Hash, KeyID(k.Hash)} })
	e.Routes = mergeSection(&errs, "route", e.Routes, n.Added.Routes, n.Changed.Routes, w.Routes, func(r Route) []string { return []string{r.Name} })
	e.FailureDomains = mergeSection(&errs, "failure domain", e.FailureDomains, n.Added.FailureDomains, n.Changed.FailureDomains, w.FailureDomains, func(d FailureDomain) []string { return []string{d.Name} })
	e.Targets = mergeSection(&errs, "target", e.Targets, n.Added.Targets, n.Changed.Targets, w.Targets, func(t Target) []string { return []string{targetID(t.Service, t.Name)} })
	e.Services = mergeSection(&errs, "service", e.Services, n.Added.Services, n.Changed.Services, w.Services, func(v Service) []string { return []string{v.Name} })
	e.Limits = lastLimits(e.Limits, n.Added.Limits, n.Changed.Limits)
	// Without a full configuration, keyed routes always require a key.
	e.KeysRequired = s.keysRequired && s.revision > 0 && len(e.Teams) == 0
	checkReferences(&errs, e)
	if err := errs.asError(); err != nil {
		return nil, err
	}
	return fromEntries(s, n.Number, digest, e), nil
}

// lastLimits returns the last argument that is not nil, or nil.
func lastLimits(all ...*Limits) *Limits {
	var last *Limits
	for _, l := range all {
		if l != nil {
			last = l
		}
	}
	return last
}

// mergeSection applies the withdrawn, changed and added entries of one kind to
// the current ones. names returns all names of an entry, the canonical one
// first. Several current entries may have the same name: they are withdrawn together, and
// none of them can be changed by its name.
func mergeSection[V any](errs *problems, kind string, current, added, changed []V, withdrawn []string, names func(V) []string) []V {
	all := make(map[string][]V, len(current)+len(added))
	alias := make(map[string]string)
	put := func(v V, others []V) {
		id := names(v)[0]
		all[id] = append(others, v)
		for _, other := range names(v) {
			alias[other] = id
		}
	}
	for _, v := range current {
		put(v, all[names(v)[0]])
	}
	for _, name := range withdrawn {
		id, ok := alias[name]
		if _, present := all[id]; !ok || !present {
			errs.add("withdrawn %s %q is not in force", kind, name)
			continue
		}
		delete(all, id)
	}
	for _, v := range changed {
		switch name := names(v)[0]; len(all[name]) {
		case 0:
			errs.add("changed %s %q is not in force", kind, name)
		case 1:
			put(v, nil)
		default:
			errs.add("changed %s %q is ambiguous: %d entries in force have this name", kind, name, len(all[name]))
		}
	}
	for _, v := range added {
		if _, ok := all[names(v)[0]]; ok {
			errs.add("added %s %q is already in force", kind, names(v)[0])
			continue
		}
		put(v, nil)
	}
	return slices.Concat(sortedValues(all)...)
}

// checkReferences checks the rules that involve more than one entry.
func checkReferences(errs *problems, e Entries) {
	checkKeys(errs, e)
	checkRoutes(errs, e.Routes)
}

func checkKeys(errs *problems, e Entries) {
	teams := make(map[string]bool, len(e.Teams))
	for _, t := range e.Teams {
		teams[t.Name] = true
	}
	ids := make(map[string]bool, len(e.Keys))
	for _, k := range e.Keys {
		id := KeyID(k.Hash)
		if !teams[k.Team] {
			errs.add("key %s names team %q, which is not in force", id, k.Team)
		}
		if ids[id] {
			errs.add("two keys have the same id %s", id)
		}
		ids[id] = true
	}
}

// checkRoutes reports routes that match the same request, and splits whose
// weights add up to 0.
func checkRoutes(errs *problems, routes []Route) {
	type place struct{ host, path string }
	byPlace := make(map[place][]Route, len(routes))
	for _, r := range routes {
		at := place{r.Host, r.Path}
		for _, other := range byPlace[at] {
			if shareMethod(r.Methods, other.Methods) {
				errs.add("routes %q and %q have the same path %s%s and a method in common", other.Name, r.Name, r.Host, r.Path)
			}
		}
		byPlace[at] = append(byPlace[at], r)
		if len(r.Split) > 0 && totalWeight(r.Split) <= 0 {
			errs.add("the weights of route %q add up to 0", r.Name)
		}
	}
}

// shareMethod reports whether a and b have an HTTP method in common. An empty
// list stands for all methods.
func shareMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func totalWeight(split []Share) float64 {
	sum := 0.0
	for _, part := range split {
		sum += part.Weight
	}
	return sum
}
