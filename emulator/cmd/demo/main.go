// Command demo drives the demo system as callers and operators would, checks
// what comes back against the stand-in targets' own records, and prints a
// summary. It starts no process of the system.
package main

import (
	"flag"
	"log"
	"os"

	"github.com/teaselrack/teaselrack/emulator/system"
)

func main() {
	log.SetFlags(0)
	dir := flag.String("dir", "build/demo", "folder of the demo's files")
	foundOnly := flag.Bool("found", false, "only found the replicas and apply the first note")
	flag.Parse()
	l, err := system.Open(*dir)
	if err != nil {
		log.Fatal(err)
	}
	if !run(l, *foundOnly) {
		os.Exit(1)
	}
}

func run(l *system.Layout, foundOnly bool) bool {
	d := &driver{layout: l, caller: system.NewCaller(), out: os.Stdout}
	defer d.caller.Close()
	d.step("found the control replicas", d.found)
	d.step("apply release note 1 and wait", d.firstNote)
	if !foundOnly {
		d.steps()
	}
	return d.summarize()
}
