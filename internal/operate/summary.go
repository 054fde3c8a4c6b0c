package operate

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxBuckets bounds the number of time buckets of a summary.
const maxBuckets = 10_000

// Summary counts the refusals and failures in the logs of several processes by reason,
// service and time.
type Summary struct {
	// Start is the beginning of the first bucket, Bucket its length.
	Start  time.Time     `json:"start"`
	Bucket time.Duration `json:"bucket_ns"`
	// Rows are ordered by place, kind and service.
	Rows []SummaryRow `json:"rows"`
}

// SummaryRow counts the lines with one reason.
type SummaryRow struct {
	// Place says which decision the lines tell of: "entry" for the final response to a
	// request, "daemon" for a rejection beside the target, "target" for a failure there.
	Place string `json:"place"`
	// Kind is the kind of the error, or the status of the target's response.
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Call is true for requests that targets make.
	Call bool `json:"call"`
	// Counts holds one number for each bucket.
	Counts []int `json:"counts"`
	Total  int   `json:"total"`
}

// places maps the messages of the lines that a summary counts to their place.
var places = map[string]string{
	"request failed":                 "entry",
	"request not sent to the target": "daemon",
	"request failed at the target":   "target",
	"target failed the request":      "target",
}

// summaryFields are the fields of a line that Summarize reads.
type summaryFields struct {
	Time    string `json:"ts"`
	Message string `json:"msg"`
	Kind    string `json:"kind"`
	Status  int    `json:"status"`
	Service string `json:"service"`
	Call    bool   `json:"call"`
}

// failureLine is one counted line.
type failureLine struct {
	at                   time.Time
	place, kind, service string
	call                 bool
}

// Summarize counts the refusals and failures in several logs. logs holds each log by its
// name. Errors: BadRequest for a log that cannot be read or has a line above maxLogLine, for
// logs without such a line, and for a bucket that is not positive or too short for their
// span.
func Summarize(logs map[string]io.Reader, bucket time.Duration) (*Summary, error) {
	if bucket <= 0 {
		return nil, fault.New(fault.BadRequest, "the bucket of %s is not positive", bucket)
	}
	var lines []failureLine
	for name, log := range logs {
		found, err := readFailures(name, log)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return nil, fault.New(fault.BadRequest, "no line of %d logs tells of a refused or failed request", len(logs))
	}
	first := slices.MinFunc(lines, func(a, b failureLine) int { return a.at.Compare(b.at) }).at.Truncate(bucket)
	last := slices.MaxFunc(lines, func(a, b failureLine) int { return a.at.Compare(b.at) }).at
	buckets := int64(last.Sub(first)/bucket) + 1
	if buckets > maxBuckets {
		return nil, fault.New(fault.BadRequest, "the logs span %s, which is more than %d buckets of %s", last.Sub(first).Round(time.Second), maxBuckets, bucket)
	}
	return &Summary{Start: first, Bucket: bucket, Rows: countRows(lines, first, bucket, int(buckets))}, nil
}

func readFailures(name string, log io.Reader) ([]failureLine, error) {
	var found []failureLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 {
			continue
		}
		var fields summaryFields
		if json.Unmarshal(line[at:], &fields) != nil || places[fields.Message] == "" {
			continue
		}
		when, err := time.Parse(time.RFC3339, fields.Time)
		if err != nil {
			continue
		}
		kind := fields.Kind
		if fields.Status > 0 {
			kind = fmt.Sprint(fields.Status)
		}
		found = append(found, failureLine{at: when, place: places[fields.Message], kind: kind, service: fields.Service, call: fields.Call})
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "read the log %s: %s", name, err)
	}
	return found, nil
}

// countRows counts the lines of each reason by bucket.
func countRows(lines []failureLine, first time.Time, bucket time.Duration, buckets int) []SummaryRow {
	rows := make(map[failureLine]*SummaryRow)
	for _, l := range lines {
		key := l
		key.at = time.Time{}
		row, ok := rows[key]
		if !ok {
			row = &SummaryRow{Place: l.place, Kind: l.kind, Service: l.service, Call: l.call, Counts: make([]int, buckets)}
			rows[key] = row
		}
		row.Counts[l.at.Sub(first)/bucket]++
		row.Total++
	}
	sorted := make([]SummaryRow, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b SummaryRow) int {
		return cmp.Or(strings.Compare(a.Place, b.Place), strings.Compare(a.Kind, b.Kind), strings.Compare(a.Service, b.Service), compareBool(a.Call, b.Call))
	})
	return sorted
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// WriteTable writes one line for each row, with a column for each bucket.
func (s *Summary) WriteTable(w io.Writer) error {
	text := new(strings.Builder)
	_, _ = fmt.Fprintf(text, "from %s, buckets of %s\n%-7s %-20s %-12s %-8s", s.Start.Format(time.RFC3339Nano), s.Bucket, "place", "kind", "service", "sender")
	for i := range s.buckets() {
		_, _ = fmt.Fprintf(text, " %6g", (time.Duration(i) * s.Bucket).Seconds())
	}
	text.WriteString("  total\n")
	for _, row := range s.Rows {
		sender := "caller"
		if row.Call {
			sender = "target"
		}
		_, _ = fmt.Fprintf(text, "%-7s %-20s %-12s %-8s", row.Place, row.Kind, row.Service, sender)
		for _, n := range row.Counts {
			_, _ = fmt.Fprintf(text, " %6d", n)
		}
		_, _ = fmt.Fprintf(text, " %6d\n", row.Total)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// plotWidth is the length of the longest bar of a plot, in characters.
const plotWidth = 60

// WritePlot writes one bar for each bucket: the final responses to callers' requests that
// were refused or failed, with the most frequent reason.
func (s *Summary) WritePlot(w io.Writer) error {
	totals := make([]int, s.buckets())
	reasons := make([]SummaryRow, len(totals))
	for _, row := range s.Rows {
		if row.Place != "entry" || row.Call {
			continue
		}
		for i, n := range row.Counts {
			totals[i] += n
			if n > 0 && (reasons[i].Total == 0 || n > reasons[i].Counts[i]) {
				reasons[i] = row
			}
		}
	}
	longest := max(slices.Max(totals), 1)
	text := new(strings.Builder)
	for i, n := range totals {
		bar := strings.Repeat("#", n*plotWidth/longest)
		_, _ = fmt.Fprintf(text, "%8g s %6d %-*s %s %s\n", (time.Duration(i) * s.Bucket).Seconds(), n, plotWidth, bar, reasons[i].Kind, reasons[i].Service)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (s *Summary) buckets() int { return len(s.Rows[0].Counts) }
