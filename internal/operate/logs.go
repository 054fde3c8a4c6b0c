package operate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxLogLine is the maximum length of one line of a log, in bytes.
const maxLogLine = 1 << 20

// LogLine is one structured line of a process's log that belongs to a request.
type LogLine struct {
	// Time is the timestamp as the process wrote it.
	Time string
	// Source is the text that precedes the JSON on the line, or else the name of
	// the file.
	Source string
	Text   string
}

// logFields are the fields of a line that FilterRequest reads.
type logFields struct {
	Time    string `json:"ts"`
	Request string `json:"request"`
}

// FilterRequest returns the lines of several logs that belong to a request or to
// the calls made for it, sorted by time. logs holds each log by its name. Targets
// choose the IDs of calls: FilterRequest recognizes a call only if its ID is the ID
// of the request, a dot and a suffix. Errors: BadRequest for a log that cannot be
// read or has a line above maxLogLine.
func FilterRequest(request string, logs map[string]io.Reader) ([]LogLine, error) {
	var found []LogLine
	for name, log := range logs {
		lines, err := filterLog(request, name, log)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) })
	return found, nil
}

func filterLog(request, name string, log io.Reader) ([]LogLine, error) {
	var found []LogLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 || !bytes.Contains(line, []byte(request)) {
			continue
		}
		var fields logFields
		if json.Unmarshal(line[at:], &fields) != nil || !belongsTo(fields.Request, request) {
			continue
		}
		source := name
		if prefix := strings.TrimSpace(string(line[:at])); prefix != "" {
			source = prefix
		}
		found = append(found, LogLine{Time: fields.Time, Source: source, Text: string(line[at:])})
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "read the log %s: %s", name, err)
	}
	return found, nil
}

func belongsTo(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}
