package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// run executes one command line and returns the exit code. Results go to
// stdout, errors and advice to stderr.
func run(args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(stdout)
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	if err == nil {
		return exitOK
	}
	return report(err, stdout, stderr)
}

func report(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		_, _ = fmt.Fprintf(stderr, "usage: %s\nnext: see teaselrack --help\n", usage.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s\nnext: %s\n", fault.KindOf(err), fault.Message(err), operate.Advice(err))
	return exitFailed
}

// command is one subcommand of a parser.
type command struct {
	name, short string
	data        any
	children    []command
}

func newParser(out io.Writer) (*flags.Parser, error) {
	global := &globalOptions{out: out}
	parser := flags.NewNamedParser("teaselrack", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Common options", "", global); err != nil {
		return nil, err
	}
	return parser, addCommands(parser.Command, commands(global))
}

func addCommands(parent *flags.Command, children []command) error {
	for _, c := range children {
		added, err := parent.AddCommand(c.name, c.short, "", c.data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.children); err != nil {
			return err
		}
	}
	return nil
}

func commands(g *globalOptions) []command {
	noOptions := &struct{}{}
	return []command{
		{"mesh", "Write the mesh's certificates", noOptions, []command{
			{"init", "Create the mesh's authority", &meshInit{global: g}, nil},
			{"issue", "Issue the certificate of one process or operator", &meshIssue{global: g}, nil},
		}},
		{"key", "Make callers' keys", noOptions, []command{
			{"new", "Make a key and show it once", &keyNew{global: g}, nil},
		}},
		{"check", "Check a release note or settings file without a replica", &check{global: g}, nil},
		{"control", "Found the control replicas and change their members", noOptions, []command{
			{"init", "Found the groups with one replica", &controlInit{global: g}, nil},
			{"admit", "Admit a new replica", &controlAdmit{global: g}, nil},
			{"remove", "Remove a replica", &controlRemove{global: g}, nil},
		}},
		{"plan", "Show what a release note would change", &plan{global: g}, nil},
		{"apply", "Put a release note in force", &apply{global: g}, nil},
		{"export", "Write the state in force as a release note", &export{global: g}, nil},
		{"status", "Show replicas, daemons and targets", &status{global: g}, nil},
		{"timeline", "Show the events of all processes in causal order", &timeline{global: g}, nil},
		{"logs", "Follow one request through the logs of several processes, or count what failed in them", &logs{global: g}, nil},
		{"version", "Show the version of this command", &versionCommand{global: g}, nil},
	}
}
