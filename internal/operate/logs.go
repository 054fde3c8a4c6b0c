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

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// LogLine is one structured line of a process's log that concerns a request.
type LogLine struct {
	// Time is the time stamp as the process wrote it.
	Time string
	// Source names the file, or what stands before the JSON on the line.
	Source string
	Text   string
}

// logFields are the fields of a line that are looked at.
type logFields struct {
	Time    string `json:"ts"`
	Request string `json:"request"`
}

// FollowRequest returns the lines of several logs that concern a request or the
// calls made for it, by time. A call's id begins with that of its request where
// targets form it so. Errors: BadRequest for a log that cannot be read.
func FollowRequest(request string, logs map[string]io.Reader) ([]LogLine, error) {
	var found []LogLine
	for name, log := range logs {
		lines, err := followIn(request, name, log)
		if err != nil {
			return nil, err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) })
	return found, nil
}

func followIn(request, name string, log io.Reader) ([]LogLine, error) {
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
		if json.Unmarshal(line[at:], &fields) != nil || !concerns(fields.Request, request) {
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

func concerns(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}
