package version

import "github.com/teaselrack/teaselrack/internal/fault"

// Apply returns the state after the note n. It accepts only the successor of
// the number in force; s itself does not change. Errors: NoteGap, NoteConflict
// and NoteInvalid; nothing is half applied.
func (s *State) Apply(n *Note) (*State, error) {
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

func (s *State) merge(n *Note, digest string) (*State, error) {
	e := s.Entries()
	w := n.Withdrawn
	var errs problems
	e.Teams = mergeSection(&errs, "team", e.Teams, n.Added.Teams, n.Changed.Teams, w.Teams, func(t Team) []string { return []string{t.Name} })
	e.Keys = mergeSection(&errs, "key", e.Keys, n.Added.Keys, n.Changed.Keys, w.Keys, func(k Key) []string { return []string{k.Hash, KeyID(k.Hash)} })
	e.Routes = mergeSection(&errs, "route", e.Routes, n.Added.Routes, n.Changed.Routes, w.Routes, func(r Route) []string { return []string{r.Name} })
	e.FailureDomains = mergeSection(&errs, "failure domain", e.FailureDomains, n.Added.FailureDomains, n.Changed.FailureDomains, w.FailureDomains, func(d FailureDomain) []string { return []string{d.Name} })
	e.Targets = mergeSection(&errs, "target", e.Targets, n.Added.Targets, n.Changed.Targets, w.Targets, func(t Target) []string { return []string{targetID(t.Service, t.Name)} })
	checkReferences(&errs, e)
	if err := errs.asError(); err != nil {
		return nil, err
	}
	return fromEntries(n.Number, digest, e), nil
}

// mergeSection applies the three lists of one sort of entry. names returns all
// names of an entry, the canonical one first.
func mergeSection[V any](errs *problems, sort string, have, added, changed []V, withdrawn []string, names func(V) []string) []V {
	all := make(map[string]V, len(have)+len(added))
	alias := make(map[string]string)
	put := func(v V) {
		id := names(v)[0]
		all[id] = v
		for _, other := range names(v) {
			alias[other] = id
		}
	}
	for _, v := range have {
		put(v)
	}
	for _, name := range withdrawn {
		id, ok := alias[name]
		if _, still := all[id]; !ok || !still {
			errs.add("withdrawn %s %q is not in force", sort, name)
			continue
		}
		delete(all, id)
	}
	for _, v := range changed {
		if _, ok := all[names(v)[0]]; !ok {
			errs.add("changed %s %q is not in force", sort, names(v)[0])
			continue
		}
		put(v)
	}
	for _, v := range added {
		if _, ok := all[names(v)[0]]; ok {
			errs.add("added %s %q is already in force", sort, names(v)[0])
			continue
		}
		put(v)
	}
	return sortedValues(all)
}

func checkReferences(errs *problems, e Entries) {
	teams := make(map[string]bool, len(e.Teams))
	for _, t := range e.Teams {
		teams[t.Name] = true
	}
	for _, k := range e.Keys {
		if !teams[k.Team] {
			errs.add("key %s names team %q, which is not in force", KeyID(k.Hash), k.Team)
		}
	}
}
