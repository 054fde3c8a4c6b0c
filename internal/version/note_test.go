package version

import (
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const otherHash = "sha256:0000000000000000000000000000000000000000000000000000000000000001"

func TestParseNoteNamesLineAndField(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"no number", "added: {}", "number: must be set"},
		{"empty", "", "0 YAML documents"},
		{"two documents", "number: 1\n---\nnumber: 2", "2 YAML documents"},
		{"not a mapping", "- 1", "line 1: must be a mapping"},
		{"unknown field", "number: 1\nadd: {}", "line 2: add: unknown field"},
		{"field twice", "number: 1\nnumber: 2", "number"},
		{"negative number", "number: -1", "line 1: number: must be a whole number"},
		{"broken number", "number: 1.5", "line 1: number: must be a whole number"},
		{"quoted number", "number: '1'", "line 1: number: must be a whole number"},
		{"list for mapping", "number: 1\nadded: []", "line 2: added: must be a mapping"},
		{"mapping for list", "number: 1\nadded:\n  teams: {}", "line 3: added.teams: must be a list"},
		{"bad team name", "number: 1\nadded:\n  teams:\n    - {name: A, rate: 1, burst: 1}", "line 4: added.teams[0].name: must be 1 to 63"},
		{"rate as text", "number: 1\nadded:\n  teams:\n    - {name: a, rate: x, burst: 1}", "line 4: added.teams[0].rate: must be a number"},
		{"rate nan", "number: 1\nadded:\n  teams:\n    - {name: a, rate: .nan, burst: 1}", "added.teams[0].rate: must be a number"},
		{"rate inf", "number: 1\nadded:\n  teams:\n    - {name: a, rate: .inf, burst: 1}", "added.teams[0].rate: must be"},
		{"no burst", "number: 1\nadded:\n  teams:\n    - {name: a, rate: 1}", "line 4: added.teams[0].burst: must be at least 1"},
		{"short hash", "number: 1\nadded:\n  keys:\n    - {team: a, hash: 'sha256:00'}", "added.keys[0].hash: must be sha256:"},
		{"trailing slash", "number: 1\nadded:\n  routes:\n    - {name: a, path: /a/, service: s}", "added.routes[0].path: must begin with /"},
		{"relative path", "number: 1\nadded:\n  routes:\n    - {name: a, path: a, service: s}", "added.routes[0].path: must begin with /"},
		{"dot segment", "number: 1\nadded:\n  routes:\n    - {name: a, path: /a/../b, service: s}", "added.routes[0].path: must begin with /"},
		{"unknown method", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, methods: [GET, get]}", "added.routes[0].methods[1]: must be one of"},
		{"method twice", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, methods: [GET, GET]}", "added.routes[0].methods: must not repeat"},
		{"importance", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, importance: urgent}", "importance: must be critical"},
		{"timeout too short", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, timeout: 10us}", "timeout: must be at least 1ms"},
		{"timeout too long", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, timeout: 61s}", "timeout: must be at most 60s"},
		{"timeout without unit", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, timeout: 5}", "timeout: must be a duration"},
		{"retries", "number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s, retries: 11}", "retries: must be at most 10"},
		{"in_service left out", "number: 1\nadded:\n  failure_domains:\n    - {name: a}", "line 4: added.failure_domains[0].in_service: must be set"},
		{"in_service as text", "number: 1\nadded:\n  failure_domains:\n    - {name: a, in_service: yes}", "in_service: must be true or false"},
		{"duplicate", "number: 1\nadded:\n  teams:\n    - {name: a, rate: 1, burst: 1}\n    - {name: a, rate: 2, burst: 1}", `line 5: added.teams[1]: team "a" is already listed at added.teams[0]`},
		{"changed and withdrawn", "number: 1\nchanged:\n  teams:\n    - {name: a, rate: 1, burst: 1}\nwithdrawn:\n  teams: [a]", `line 6: withdrawn.teams[0]: team "a" is already listed at changed.teams[0]`},
		{"key by id and hash", "number: 1\nchanged:\n  keys:\n    - {team: a, hash: '" + otherHash + "'}\nwithdrawn:\n  keys: ['0000000000000000']", "is already listed at changed.keys[0]"},
		{"withdrawn target", "number: 1\nwithdrawn:\n  targets: [a]", "line 3: withdrawn.targets[0]: must be service/instance"},
		{"anchor", "number: &a 1", "line 1: anchors"},
		{"tag", "number: !!int 1", "line 1: anchors, aliases, tags"},
		{"nested", strings.Repeat("[", 40000), "line 1: the note is nested too deeply"},
		{"oversized", strings.Repeat("#", MaxNoteSize+1), "the limit is"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseNote([]byte(c.text))
			must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
			must.StrContains(t, fault.Message(err), c.want)
		})
	}
}

func TestParseNoteNamesAllProblemsInOrder(t *testing.T) {
	text := `number: x
bogus: 1
added:
  teams:
    - {name: A, rate: fast, burst: 0.5}
  routes:
    - {name: r, path: r, service: s, timeout: 1h}
`
	_, err := ParseNote([]byte(text))
	lines := strings.Split(fault.Message(err), "\n")
	for i, prefix := range []string{"line 1: number", "line 2: bogus", "line 5: added.teams[0].", "line 5: added.teams[0].", "line 5: added.teams[0].", "line 7: added.routes[0].", "line 7: added.routes[0]."} {
		must.StrHasPrefix(t, prefix, lines[i])
	}
	must.Len(t, 7, lines)
}

func TestDefaultsOfARoute(t *testing.T) {
	n, err := ParseNote([]byte("number: 1\nadded:\n  routes:\n    - {name: a, path: /, service: s}\n    - {name: b, path: /b, service: s, retries: 0}"))
	must.NoError(t, err)
	r := n.Added.Routes[0]
	must.Eq(t, Normal, r.Importance)
	must.Eq(t, DefaultRetries, r.Retries)
	must.Eq(t, DefaultTimeout, r.Timeout)
	must.Eq(t, Keyed, r.Access)
	must.Eq(t, Idempotent, r.Mode)
	must.Eq(t, 0, n.Added.Routes[1].Retries)
}

func TestExportRecreatesTheContent(t *testing.T) {
	s := stateAfter(t, firstNote)
	text, err := Export(s)
	must.NoError(t, err)
	copied := stateAfter(t, string(text))
	must.Eq(t, s.Entries(), copied.Entries())
	must.SliceEmpty(t, Diff(s, copied))
}

func TestDiffNamesEveryChange(t *testing.T) {
	before := stateAfter(t, firstNote)
	n, err := ParseNote([]byte(`number: 2
added:
  teams:
    - {name: novi, rate: 1, burst: 1}
changed:
  routes:
    - {name: pay, path: /pay, service: blagajna, mode: once, timeout: 3s}
withdrawn:
  failure_domains: [split-a]
`))
	must.NoError(t, err)
	after, err := before.Apply(n)
	must.NoError(t, err)
	changes := Diff(before, after)
	must.Len(t, 3, changes)
	must.Eq(t, "added team novi", changes[0].line())
	must.Eq(t, "changed route pay", changes[1].line())
	must.StrContains(t, changes[1].Before, "timeout: 1.5s")
	must.StrContains(t, changes[1].After, "timeout: 3s")
	must.Eq(t, "withdrawn failure domain split-a", changes[2].line())
}

func TestMergeRejectsWhatDoesNotFitTheState(t *testing.T) {
	s := stateAfter(t, firstNote)
	cases := map[string]string{
		"number: 2\nwithdrawn:\n  teams: [obala]":                                                                                          "names team",
		"number: 2\nwithdrawn:\n  teams: [none]":                                                                                           "not in force",
		"number: 2\nchanged:\n  teams:\n    - {name: none, rate: 1, burst: 1}":                                                             "not in force",
		"number: 2\nadded:\n  teams:\n    - {name: obala, rate: 1, burst: 1}":                                                              "already in force",
		"number: 2\nadded:\n  routes:\n    - {name: z, path: /pay, service: s, methods: [GET]}":                                            "same path",
		"number: 2\nadded:\n  keys:\n    - {team: obala, hash: 'sha256:2bb80d537b1da3e300000000000000000000000000000000000000000000000f'}": "same id",
	}
	for text, want := range cases {
		n, err := ParseNote([]byte(text))
		must.NoError(t, err)
		_, err = s.Apply(n)
		must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
		must.StrContains(t, fault.Message(err), want)
	}
}

func TestNewKeys(t *testing.T) {
	secret, hash, err := NewKey()
	must.NoError(t, err)
	must.StrHasPrefix(t, "tsl_", secret)
	must.Eq(t, HashKey(secret), hash)
	must.RegexMatch(t, keyHashPattern, hash)
	again, _, err := NewKey()
	must.NoError(t, err)
	must.NotEq(t, secret, again)
}

// TestALargeNoteIsRead checks only that a large note is read. The time to read a
// note grows linearly with its size, which the test does not measure.
func TestALargeNoteIsRead(t *testing.T) {
	var b strings.Builder
	b.WriteString("number: 1\nadded:\n  targets:\n")
	for i := range 10000 {
		b.WriteString("    - {name: t" + strconv.Itoa(i) + ", service: s, in_service: true}\n")
	}
	n, err := ParseNote([]byte(b.String()))
	must.NoError(t, err)
	must.Len(t, 10000, n.Added.Targets)
}

func FuzzParseNote(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("number: 2\nchanged:\n  targets:\n    - {name: a, service: b, in_service: false}"))
	f.Add([]byte("number: 3\nwithdrawn: {keys: ['0000000000000001'], targets: [a/b]}"))
	f.Add([]byte("number: 1\nadded:\n  targets:\n    - {name: A, service: b, in_service: false}"))
	f.Add([]byte("a: [{]}: &x *x"))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := ParseNote(text)
		if err != nil {
			must.Eq(t, fault.NoteInvalid, fault.KindOf(err))
			return
		}
		b, err := n.Encode()
		must.NoError(t, err)
		back, err := DecodeNote(b)
		must.NoError(t, err)
		must.Eq(t, n.Digest(), back.Digest())
		must.NoError(t, back.Validate())
	})
}

func stateAfter(t *testing.T, text string) *State {
	t.Helper()
	n, err := ParseNote([]byte(text))
	must.NoError(t, err)
	s, err := Initial().Apply(n)
	must.NoError(t, err)
	return s
}

func (c Change) line() string { return string(c.Action) + " " + c.Kind + " " + c.Name }
