// Command demo sends client requests and operator commands to the running demo
// system. It compares the responses with the records of the stand-in targets, and
// prints the result of each step and a summary. It starts no process of the
// system.
package main

import (
	"flag"
	"log"
	"os"

	"github.com/teaselrack/teaselrack/emulator/system"
)

func main() {
	log.SetFlags(0)
	dir := flag.String("dir", "build/demo", "directory of the demo's files")
	foundOnly := flag.Bool("found", false, "only found the replica groups and apply the first release note")
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
	d := &driver{layout: l, client: system.NewClient(), out: os.Stdout}
	defer d.client.Close()
	d.setUp("found the replica groups", d.found)
	d.setUp("apply release note 1 on all instances", d.firstNote)
	if !foundOnly {
		d.steps()
	}
	return d.summarize()
}
