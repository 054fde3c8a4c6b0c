package protocol

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestStatementRoundTrip(t *testing.T) {
	for _, s := range []Statement{
		{Incarnation: "i-1/1700000000000", Limited: true, Limit: 31.2},
		{Incarnation: "i 1/2", Limited: true},
		{Incarnation: "i-1/2", Leaving: true},
		{Incarnation: "i-1/2", Limited: true, Limit: 0.5, Leaving: true},
	} {
		parsed, err := ParseStatement(s.String())
		must.NoError(t, err)
		must.Eq(t, s, parsed)
	}
}

func TestMalformedStatements(t *testing.T) {
	for _, text := range []string{"", "31.2", "31.2 -", "x - i", "NaN - i", "-1 - i", "Inf - i", "1e300 - i"} {
		_, err := ParseStatement(text)
		must.Error(t, err, must.Sprint(text))
	}
}
