// Command layout writes the files of the demo system: certificates, API keys,
// settings, the list of processes that the shell scripts start, and
// endpoints.env.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"strings"

	"github.com/teaselrack/teaselrack/emulator/system"
)

const (
	fileMode = 0o600
	dirMode  = 0o700
)

func main() {
	log.SetFlags(0)
	dir := flag.String("dir", "build/demo", "directory for the files")
	bin := flag.String("bin", "build/bin", "directory of the programs")
	flag.Parse()
	if err := run(*dir, *bin); err != nil {
		log.Fatal(err)
	}
}

func run(dir, bin string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	l, err := system.New(dir, bin, system.DemoSpecs())
	if err != nil {
		return err
	}
	if err := l.AddKey("A", "obala"); err != nil {
		return err
	}
	if err := l.AddKey("B", "sidro"); err != nil {
		return err
	}
	if err := writeProcesses(l); err != nil {
		return err
	}
	return writeEndpoints(l)
}

// writeProcesses writes one line for each process: its name and its command.
// Targets come first, so that they are started before the daemons that forward
// requests to them.
func writeProcesses(l *system.Layout) error {
	var b strings.Builder
	for _, i := range l.Instances {
		fmt.Fprintf(&b, "target-%s %s\n", i.Name, strings.Join(l.TargetCommand(i), " "))
	}
	for _, i := range l.Instances {
		fmt.Fprintf(&b, "daemon-%s %s\n", i.Name, strings.Join(l.DaemonCommand(i), " "))
	}
	return os.WriteFile(l.File("processes"), []byte(b.String()), fileMode)
}

// writeEndpoints writes the addresses, API keys and credentials that clients and
// operators need. The file has one KEY=VALUE per line, with absolute paths.
func writeEndpoints(l *system.Layout) error {
	dir, err := filepath.Abs(l.Dir)
	if err != nil {
		return err
	}
	absolute := *l
	absolute.Dir = dir
	l = &absolute
	var b strings.Builder
	for n, i := range l.Instances {
		fmt.Fprintf(&b, "INGRESS_%d=http://%s\n", n+1, i.Ingress)
	}
	fmt.Fprintf(&b, "KEY_A=%s\n", l.Keys["A"].Secret)
	fmt.Fprintf(&b, "KEY_B=%s\n", l.Keys["B"].Secret)
	fmt.Fprintf(&b, "ADMIN=%s\n", strings.Join(l.Replicas(), ","))
	fmt.Fprintf(&b, "CA=%s\n", l.File("mesh", "ca.pem"))
	fmt.Fprintf(&b, "CERT=%s\n", l.File("mesh", "operator.pem"))
	fmt.Fprintf(&b, "KEY=%s\n", l.File("mesh", "operator.key"))
	for _, line := range l.Environment() {
		fmt.Fprintln(&b, line)
	}
	return os.WriteFile(l.File("endpoints.env"), []byte(b.String()), fileMode)
}
