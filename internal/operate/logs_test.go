package operate

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFilterRequest(t *testing.T) {
	logs := map[string]io.Reader{
		"a": strings.NewReader(`{"ts":"2026-01-01T00:00:02Z","msg":"request refused","request":"id1"}
not a line of JSON with id1
{"ts":"2026-01-01T00:00:01Z","msg":"request refused","request":"id12"}
`),
		"b": strings.NewReader(`12.3 node-b {"ts":"2026-01-01T00:00:01Z","msg":"request failed at the target","request":"id1.call"}
`),
	}
	lines, err := FilterRequest("id1", logs)
	must.NoError(t, err)
	must.Len(t, 2, lines)
	must.Eq(t, "12.3 node-b", lines[0].Source)
	must.Eq(t, "a", lines[1].Source)
	must.StrContains(t, lines[1].Text, "request refused")
}
