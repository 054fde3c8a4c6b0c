package version

import (
	"maps"
	"reflect"
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Update is the difference between the contents of two states. Unlike a note, it
// holds nothing that only the control replicas need: neither the text of a full
// configuration nor the revisions that were accepted before.
type Update struct {
	// Number, NoteDigest and Revision are those of the state after the update.
	Number     uint64 `cbor:"1,keyasint"`
	NoteDigest string `cbor:"2,keyasint"`
	Revision   uint64 `cbor:"3,keyasint,omitempty"`
	// Set holds the entries that were added or changed, and with a route all others of its
	// name.
	Set Entries `cbor:"4,keyasint,omitempty"`
	// Withdrawn names the entries that were removed; keys by their full hash.
	Withdrawn WithdrawnNames `cbor:"5,keyasint,omitempty"`
}

// UpdateBetween returns the update that leads from the content of before to that of
// after.
func UpdateBetween(before, after *State) *Update {
	u := &Update{Number: after.number, NoteDigest: after.noteDigest, Revision: after.revision}
	u.Set.Teams, u.Withdrawn.Teams = difference(before.teams, after.teams)
	u.Set.Keys, u.Withdrawn.Keys = difference(before.keys, after.keys)
	var changed [][]Route
	changed, u.Withdrawn.Routes = difference(before.routes, after.routes)
	u.Set.Routes = slices.Concat(changed...)
	u.Set.FailureDomains, u.Withdrawn.FailureDomains = difference(before.domains, after.domains)
	u.Set.Targets, u.Withdrawn.Targets = difference(before.targets, after.targets)
	u.Set.Services, u.Withdrawn.Services = difference(before.services, after.services)
	if before.limits != after.limits {
		limits := after.limits
		u.Set.Limits = &limits
	}
	u.Set.KeysRequired = after.Entries().KeysRequired
	return u
}

// difference returns the values that after has and before has not, or has with
// another content, and the names that only before has, both in the order of the
// names.
func difference[V any](before, after map[string]V) (set []V, withdrawn []string) {
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, had := before[name]
		if !had || !reflect.DeepEqual(old, after[name]) {
			set = append(set, after[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, has := after[name]; !has {
			withdrawn = append(withdrawn, name)
		}
	}
	return set, withdrawn
}

// ApplyUpdate returns the state after the update. The result has no text of a full
// configuration and no accepted revisions. Whether the update belongs to this state
// shows only the content digest of the result.
func (s *State) ApplyUpdate(u *Update) *State {
	return build(storedState{
		Number: u.Number, NoteDigest: u.NoteDigest, Revision: u.Revision,
		Entries: Entries{
			Teams:          applyDifference(s.teams, u.Set.Teams, u.Withdrawn.Teams),
			Keys:           applyDifference(s.keys, u.Set.Keys, u.Withdrawn.Keys),
			Routes:         s.routesAfter(u),
			FailureDomains: applyDifference(s.domains, u.Set.FailureDomains, u.Withdrawn.FailureDomains),
			Targets:        applyDifference(s.targets, u.Set.Targets, u.Withdrawn.Targets),
			Services:       applyDifference(s.services, u.Set.Services, u.Withdrawn.Services),
			Limits:         s.limitsAfter(u),
			KeysRequired:   u.Set.KeysRequired,
		},
	})
}

// applyDifference returns the values of before without the withdrawn ones, followed
// by set. Of values with the same name, build keeps the last.
func applyDifference[V any](before map[string]V, set []V, withdrawn []string) []V {
	values := make([]V, 0, len(before)+len(set))
	for name, value := range before {
		if !slices.Contains(withdrawn, name) {
			values = append(values, value)
		}
	}
	return append(values, set...)
}

// routesAfter returns the routes after the update. A name has either the routes that the
// update sets, or those of before.
func (s *State) routesAfter(u *Update) []Route {
	kept := maps.Clone(s.routes)
	for _, name := range u.Withdrawn.Routes {
		delete(kept, name)
	}
	for i := range u.Set.Routes {
		delete(kept, u.Set.Routes[i].Name)
	}
	routes := slices.Clone(u.Set.Routes)
	for _, group := range kept {
		routes = append(routes, group...)
	}
	return routes
}

func (s *State) limitsAfter(u *Update) *Limits {
	if u.Set.Limits != nil {
		return u.Set.Limits
	}
	return s.limitsEntry()
}

// ChangedDomains returns the names of the failure domains whose entries differ between
// two states, in no fixed order.
func ChangedDomains(before, after *State) []string {
	set, names := difference(before.domains, after.domains)
	for _, d := range set {
		names = append(names, d.Name)
	}
	return names
}

// Encode returns the canonical CBOR encoding of the update, compressed if it has at
// least compressMinBytes.
func (u *Update) Encode() ([]byte, error) {
	return encode("update of the configuration", u)
}

// DecodeUpdate decodes the result of Encode, compressed or not. Errors: Damaged.
func DecodeUpdate(b []byte) (*Update, error) {
	u := new(Update)
	if err := decode(b, u); err != nil {
		return nil, fault.Wrap(fault.Damaged, err, "decode the update of the configuration")
	}
	return u, nil
}

// content returns the stored form of the state without what only the control
// replicas need.
func (s *State) content() storedState {
	return storedState{Number: s.number, NoteDigest: s.noteDigest, Entries: s.Entries(), Revision: s.revision}
}

// ContentDigest returns the digest of the content, in hexadecimal. It is the same
// for a state that was built from notes and for one that was built from updates.
func (s *State) ContentDigest() string {
	s.contentDigestOnce.Do(func() { s.contentDigest = digestOf(s.content()) })
	return s.contentDigest
}

// EncodeContent returns the encoding of the content, in the form of Encode.
func (s *State) EncodeContent() ([]byte, error) {
	return encode("content of the state", s.content())
}
