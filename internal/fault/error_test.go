package fault

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEveryKindHasAResponse(t *testing.T) {
	for _, k := range Kinds() {
		response := ResponseFor(k)
		must.GreaterEq(t, http.StatusBadRequest, response.Status, must.Sprint(k))
		must.SliceContains(t, []Outcome{NotRun, Unknown, Ran}, response.Outcome)
		must.Eq(t, k, KindOf(New(k, "text")))
		if response.RetryAfter > 0 {
			must.True(t, response.Retry, must.Sprintf("%s has a RetryAfter without Retry", k))
		}
	}
}

func TestKindOf(t *testing.T) {
	cause := errors.New("broken pipe")
	cases := []struct {
		name string
		err  error
		kind Kind
	}{
		{"nil", nil, ""},
		{"plain", cause, Internal},
		{"wrapped", Wrap(ConnectionLost, cause, "peer"), ConnectionLost},
		{"outermost wins", Wrap(Overloaded, New(NoTarget, "inner"), "outer"), Overloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.kind, KindOf(c.err))
		})
	}
}

func TestMessageOmitsCauses(t *testing.T) {
	err := Wrap(ConnectionLost, errors.New("10.0.0.1 refused"), "the peer was lost")
	must.Eq(t, "the peer was lost", Message(err))
}
