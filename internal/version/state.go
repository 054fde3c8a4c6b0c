package version

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// State is the configuration in effect after the note with its Number.
// Invariant: a State never changes once it is built, so any number of goroutines
// may read it.
type State struct {
	number uint64
	// digest covers the whole content; two states with equal digests are equal.
	digest string
	// noteDigest is the digest of the last note, or of the content of the last
	// order.
	noteDigest string

	teams              map[string]Team
	keys               map[string]Key // by hash
	keyByID            map[string]Key
	routes             map[string][]Route // by name; see groupRoutes
	routesByPathLength []Route            // longest path first, with IDs
	domains            map[string]FailureDomain
	targets            map[string]Target // by service/name

	services map[string]Service
	limits   Limits
	// keysRequired is true also after the last team was withdrawn.
	keysRequired bool
	// routesByHost are the routes of one host, longest path first, routesByLowerHost those of
	// one host in lower case.
	routesByHost, routesByLowerHost map[string][]Route
	// ranks are the ranks that requests on keyed routes can have, ascending.
	ranks []int
	// serviceNames are the names of the services in routes and service entries,
	// sorted.
	serviceNames []string

	revision uint64
	source   []byte
	accepted []AcceptedRevision // oldest first

	contentDigestOnce sync.Once
	contentDigest     string
}

// storedState is the canonical stored form of a State.
type storedState struct {
	Number     uint64  `cbor:"1,keyasint"`
	NoteDigest string  `cbor:"2,keyasint"`
	Entries    Entries `cbor:"3,keyasint"`
	// Revision, Source and Accepted are set once a full configuration has been
	// accepted.
	Revision uint64             `cbor:"4,keyasint,omitempty"`
	Source   []byte             `cbor:"5,keyasint,omitempty"`
	Accepted []AcceptedRevision `cbor:"6,keyasint,omitempty"`
}

var canonical = mustCanonical()

func mustCanonical() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Initial returns the state before the first note.
func Initial() *State {
	return build(storedState{})
}

// Number returns the number of the last note, 0 before the first.
func (s *State) Number() uint64 { return s.number }

// Digest returns the digest of the whole state, in hexadecimal.
func (s *State) Digest() string { return s.digest }

// NoteDigest returns the digest of the last note, or of the content of the last
// order.
func (s *State) NoteDigest() string { return s.noteDigest }

// Team returns the team called name.
func (s *State) Team(name string) (Team, bool) {
	t, ok := s.teams[name]
	return t, ok
}

// Key returns the key with this secret, if it is in effect.
func (s *State) Key(secret string) (Key, bool) {
	k, ok := s.keys[HashKey(secret)]
	return k, ok
}

// KeyInEffect reports whether the key with this public ID is in effect.
func (s *State) KeyInEffect(id string) bool {
	_, ok := s.keyByID[id]
	return ok
}

// Route returns the matching route with the longest path. The second result is
// false where no route matches method and path.
func (s *State) Route(method, path string) (Route, bool) {
	for _, r := range s.routesByPathLength {
		if matchPath(r.Path, path) && matchMethod(r.Methods, method) {
			return r, true
		}
	}
	return Route{}, false
}

// DomainInService reports whether the failure domain may receive new requests. A
// domain without an entry is in service.
func (s *State) DomainInService(name string) bool {
	d, ok := s.domains[name]
	return !ok || d.InService
}

// TargetInService reports whether the configuration lets the target of service
// at the daemon called instance receive new requests. A target without an entry
// is in service.
func (s *State) TargetInService(service, instance string) bool {
	t, ok := s.targets[targetID(service, instance)]
	return !ok || t.InService
}

// Entries returns a sorted copy of the whole content.
func (s *State) Entries() Entries {
	return Entries{
		Teams:          sortedValues(s.teams),
		Keys:           sortedValues(s.keys),
		Routes:         slices.Concat(sortedValues(s.routes)...),
		FailureDomains: sortedValues(s.domains),
		Targets:        sortedValues(s.targets),
		Services:       sortedValues(s.services),
		Limits:         s.limitsEntry(),
		KeysRequired:   s.keysRequired && len(s.teams) == 0,
	}
}

// limitsEntry returns nil where no limits are set, so that such a state keeps the
// digest that it had before limits were introduced.
func (s *State) limitsEntry() *Limits {
	if s.limits == (Limits{}) {
		return nil
	}
	l := s.limits
	return &l
}

func (s *State) stored() storedState {
	return storedState{
		Number: s.number, NoteDigest: s.noteDigest, Entries: s.Entries(),
		Revision: s.revision, Source: s.source, Accepted: s.accepted,
	}
}

// Service returns the operators' settings for a service.
func (s *State) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Limits returns the limits on what one caller may send.
func (s *State) Limits() Limits { return s.limits }

// KeysRequired reports whether a request on a keyed route needs the key of a team. It
// does not where a full configuration declares no teams. One that declares teams and has
// none requires keys, so that every request is rejected.
func (s *State) KeysRequired() bool { return s.keysRequired }

// RouteForHost returns the route of host with the longest path that is a prefix
// of the given path. The second result is false where there is none.
func (s *State) RouteForHost(host, path string) (Route, bool) {
	for _, r := range s.routesOfHost(host) {
		if matchPath(r.Path, path) {
			return r, true
		}
	}
	return Route{}, false
}

// Encode returns the canonical CBOR encoding of the state, compressed if it has at
// least compressMinBytes.
func (s *State) Encode() ([]byte, error) {
	return encode("state", s.stored())
}

// DecodeState decodes the result of Encode, compressed or not. Errors: Damaged.
func DecodeState(b []byte) (*State, error) {
	var stored storedState
	if err := decode(b, &stored); err != nil {
		return nil, fault.Wrap(fault.Damaged, err, "decode the state")
	}
	return build(stored), nil
}

// HashKey returns the stored form of a caller's key.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// KeyID returns the public ID of the key with this hash.
func KeyID(hash string) string {
	digits := strings.TrimPrefix(hash, "sha256:")
	return digits[:min(len(digits), keyIDDigits)]
}

const keyIDDigits = 16

func targetID(service, instance string) string { return service + "/" + instance }

// matchPath reports whether prefix matches path at a segment boundary. The prefix /a
// matches /a and /a/b, the prefix /a/ only the paths that begin with /a/.
func matchPath(prefix, path string) bool {
	if prefix == "/" || path == prefix {
		return true
	}
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	return strings.HasPrefix(path, prefix) && path[len(prefix)] == '/'
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// sortedValues returns the values of m in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	values := make([]V, 0, len(names))
	for _, name := range names {
		values = append(values, m[name])
	}
	return values
}

// fromEntries builds the state after a note from its whole content. It copies the
// revision, source and accepted revisions, which only orders set, from before.
func fromEntries(before *State, number uint64, noteDigest string, entries Entries) *State {
	return build(storedState{
		Number: number, NoteDigest: noteDigest, Entries: entries,
		Revision: before.revision, Source: before.source, Accepted: before.accepted,
	})
}

// build returns the State for its stored form, with all indexes.
func build(stored storedState) *State {
	e := stored.Entries
	s := &State{
		number:       stored.Number,
		noteDigest:   stored.NoteDigest,
		revision:     stored.Revision,
		source:       stored.Source,
		accepted:     stored.Accepted,
		teams:        index(e.Teams, func(t Team) string { return t.Name }),
		keys:         make(map[string]Key, len(e.Keys)),
		keyByID:      make(map[string]Key, len(e.Keys)),
		routes:       groupRoutes(e.Routes),
		domains:      index(e.FailureDomains, func(d FailureDomain) string { return d.Name }),
		targets:      index(e.Targets, func(t Target) string { return targetID(t.Service, t.Name) }),
		services:     index(e.Services, func(v Service) string { return v.Name }),
		keysRequired: e.KeysRequired || len(e.Teams) > 0,
		routesByHost: make(map[string][]Route),

		routesByLowerHost: make(map[string][]Route),
	}
	for _, k := range e.Keys {
		k.ID = KeyID(k.Hash)
		s.keys[k.Hash] = k
		s.keyByID[k.ID] = k
	}
	if e.Limits != nil {
		s.limits = *e.Limits
	}
	s.routesByPathLength = identifiedRoutes(s.routes)
	slices.SortStableFunc(s.routesByPathLength, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	for _, r := range s.routesByPathLength {
		s.routesByHost[r.Host] = append(s.routesByHost[r.Host], r)
		lower := strings.ToLower(r.Host)
		s.routesByLowerHost[lower] = append(s.routesByLowerHost[lower], r)
	}
	s.ranks = ranksOf(e)
	s.serviceNames = servicesOf(e)
	s.digest = digestOf(s.stored())
	return s
}

// ServiceNames returns the names of the services that are declared or that routes
// name, sorted. The caller must not modify the slice.
func (s *State) ServiceNames() []string { return s.serviceNames }

func servicesOf(e Entries) []string {
	var names []string
	for _, v := range e.Services {
		names = append(names, v.Name)
	}
	for _, r := range e.Routes {
		names = append(names, r.Services()...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// rankStride is the factor of the team's rank in a combined rank. It is a power of
// ten so that logs show both ranks: 10002 is team rank 1, route rank 2. Both are
// at most 1000.
const rankStride = 10_000

// Rank returns the combined rank of a team's request on a route. The smallest rank
// is shed last under overload. The rank of the team decides first. Between teams of
// equal rank, the rank of the route decides. team is empty for a route without a
// key.
func (s *State) Rank(team string, route *Route) int {
	if t, ok := s.Team(team); ok {
		return rankOf(t, route)
	}
	return route.Rank * (rankStride + 1)
}

// rankOf returns the combined rank. A team without a rank has the rank of the
// route.
func rankOf(t Team, route *Route) int {
	if t.Rank == nil {
		return route.Rank * (rankStride + 1)
	}
	return *t.Rank*rankStride + route.Rank
}

// ranksOf returns the combined ranks that requests on keyed routes can have,
// ascending.
func ranksOf(e Entries) []int {
	teams := distinctRanks(e.Teams)
	seen := make(map[int]struct{})
	for i := range e.Routes {
		if e.Routes[i].Access != Keyed {
			continue
		}
		for _, t := range teams {
			seen[rankOf(t, &e.Routes[i])] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// distinctRanks returns one team for each distinct rank of the teams, and one team
// without a rank where there are no teams.
func distinctRanks(teams []Team) []Team {
	if len(teams) == 0 {
		return []Team{{}}
	}
	sorted := slices.SortedFunc(slices.Values(teams), func(a, b Team) int { return teamRank(a) - teamRank(b) })
	return slices.CompactFunc(sorted, func(a, b Team) bool { return teamRank(a) == teamRank(b) })
}

// teamRank returns the rank of the team, and -1 for a team without a rank.
func teamRank(t Team) int {
	if t.Rank == nil {
		return -1
	}
	return *t.Rank
}

// RankPosition returns the number of ranks in use that are less urgent than rank.
func (s *State) RankPosition(rank int) int {
	return len(s.ranks) - 1 - max(sort.SearchInts(s.ranks, rank+1)-1, 0)
}

// index returns the values by name. Of values with the same name, it keeps the last.
func index[V any](values []V, name func(V) string) map[string]V {
	m := make(map[string]V, len(values))
	for _, v := range values {
		m[name(v)] = v
	}
	return m
}

// digestOf returns the SHA-256 of the canonical CBOR encoding of v, in hexadecimal.
// The result is empty if v cannot be encoded.
func digestOf(v any) string {
	b, err := canonical.Marshal(v)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
