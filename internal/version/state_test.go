package version

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const firstNote = `
number: 1
added:
  teams:
    - {name: obala, rate: 50, burst: 100}
  keys:
    - {team: obala, hash: "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}
  routes:
    - {name: pay, path: /pay, service: blagajna, importance: critical, mode: once, timeout: 1500ms}
    - {name: all, path: /, service: tides}
  failure_domains:
    - {name: split-a, in_service: true}
`

func TestApplyFirstNote(t *testing.T) {
	n, err := ParseNote([]byte(firstNote))
	must.NoError(t, err)
	s, err := Initial().Apply(n)
	must.NoError(t, err)
	must.Eq(t, 1, s.Number())
	k, ok := s.Key("secret")
	must.True(t, ok)
	must.Eq(t, "obala", k.Team)
	must.True(t, s.KeyInEffect(k.ID))
	r, ok := s.Route("POST", "/pay/now")
	must.True(t, ok)
	must.Eq(t, Once, r.Mode)
	must.Eq(t, 1500*time.Millisecond, r.Timeout)
	r, _ = s.Route("GET", "/payment")
	must.Eq(t, "all", r.Name)

	b, err := s.Encode()
	must.NoError(t, err)
	back, err := DecodeState(b)
	must.NoError(t, err)
	must.Eq(t, s.Digest(), back.Digest())

	same, err := s.Apply(n)
	must.NoError(t, err)
	must.Eq(t, s.Digest(), same.Digest())
	n.Comment = "other"
	_, err = s.Apply(n)
	must.Eq(t, fault.NoteConflict, fault.KindOf(err))
	n.Number = 3
	_, err = s.Apply(n)
	must.Eq(t, fault.NoteGap, fault.KindOf(err))
}
