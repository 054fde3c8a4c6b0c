package main

import (
	"fmt"
	"io"
	"os"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
)

// logs prints the log lines of one request from the logs of several processes.
type logs struct {
	global  *globalOptions
	Request string `long:"request" required:"yes" value-name:"ID" description:"id of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of processes, one file each or joined"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *logs) Execute([]string) error {
	readers := make(map[string]io.Reader, len(c.Args.Files))
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "open the log %s: %s", name, err)
		}
		defer func() { _ = file.Close() }()
		readers[name] = file
	}
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
