package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
)

// logs prints the log lines of one request from the logs of several processes, or a summary
// of all refusals and failures in them.
type logs struct {
	global  *globalOptions
	Request string        `long:"request" value-name:"ID" description:"id of the request"`
	Summary bool          `long:"summary" description:"count refusals and failures by reason, service and time"`
	Bucket  time.Duration `long:"bucket" default:"2s" value-name:"TIME" description:"length of a time bucket of the summary"`
	JSON    bool          `long:"json" description:"print the summary as JSON"`
	Plot    bool          `long:"plot" description:"print the summary as a plot over time"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of processes, one file each or joined"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *logs) Execute([]string) error {
	switch {
	case c.Summary == (c.Request != ""):
		return usageError("name one request with --request, or count all with --summary")
	case c.JSON && c.Plot || (c.JSON || c.Plot) && !c.Summary:
		return usageError("--json and --plot are two forms of the --summary")
	}
	readers := make(map[string]io.Reader, len(c.Args.Files))
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "open the log %s: %s", name, err)
		}
		defer func() { _ = file.Close() }()
		readers[name] = file
	}
	if c.Summary {
		return c.printSummary(readers)
	}
	return c.printRequest(readers)
}

func (c *logs) printRequest(readers map[string]io.Reader) error {
	lines, err := operate.FilterRequest(c.Request, readers)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.New(fault.BadRequest, "no line of %d logs belongs to the request %q", len(readers), c.Request)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(c.global.out, "%s  %s\n", line.Source, line.Text); err != nil {
			return err
		}
	}
	return nil
}

func (c *logs) printSummary(readers map[string]io.Reader) error {
	summary, err := operate.Summarize(readers, c.Bucket)
	if err != nil {
		return err
	}
	switch {
	case c.JSON:
		return json.NewEncoder(c.global.out).Encode(summary)
	case c.Plot:
		return summary.WritePlot(c.global.out)
	}
	return summary.WriteTable(c.global.out)
}
