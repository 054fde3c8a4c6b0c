package operate

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const summaryLog = `{"ts":"2026-01-01T00:00:01.500Z","msg":"request failed","kind":"overloaded","service":"s","call":false}
12.3 node-b {"ts":"2026-01-01T00:00:01Z","msg":"request failed","kind":"overloaded","service":"s","call":false}
{"ts":"2026-01-01T00:00:04Z","msg":"request failed","kind":"quota_exceeded","service":"s","call":false}
{"ts":"2026-01-01T00:00:04Z","msg":"target failed the request","status":500,"service":"t","call":true}
{"ts":"2026-01-01T00:00:04Z","msg":"node started"}
{"ts":"yesterday","msg":"request failed"}
no JSON
`

func TestSummaryCountsByReasonAndTime(t *testing.T) {
	s, err := Summarize(map[string]io.Reader{"a": strings.NewReader(summaryLog)}, 2*time.Second)
	must.NoError(t, err)
	must.Len(t, 3, s.Rows)
	must.Eq(t, SummaryRow{Place: "entry", Kind: "overloaded", Service: "s", Counts: []int{2, 0, 0}, Total: 2}, s.Rows[0])
	must.Eq(t, SummaryRow{Place: "target", Kind: "500", Service: "t", Call: true, Counts: []int{0, 0, 1}, Total: 1}, s.Rows[2])
	var table, plot strings.Builder
	must.NoError(t, s.WriteTable(&table))
	must.StrContains(t, table.String(), "quota_exceeded       s            caller        0      0      1      1")
	must.NoError(t, s.WritePlot(&plot))
	must.Eq(t, 3, strings.Count(plot.String(), "\n"))
	must.StrContains(t, plot.String(), "overloaded s")
}

func TestSummaryOfBadInput(t *testing.T) {
	for _, c := range []struct {
		log    string
		bucket time.Duration
		want   string
	}{
		{summaryLog, 0, "not positive"},
		{summaryLog, time.Microsecond, "more than 10000 buckets"},
		{"nothing\n", time.Second, "no line of 1 logs"},
		{strings.Repeat("x", maxLogLine+1), time.Second, "read the log a"},
	} {
		_, err := Summarize(map[string]io.Reader{"a": strings.NewReader(c.log)}, c.bucket)
		must.Eq(t, fault.BadRequest, fault.KindOf(err))
		must.StrContains(t, fault.Message(err), c.want)
	}
}
