// Command policybench compares the overload policy with a naive version in
// virtual time, and writes a table, a JSON file and one plot per scenario.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/teaselrack/teaselrack/bench/report"
	"github.com/teaselrack/teaselrack/bench/scenario"
	"github.com/teaselrack/teaselrack/bench/simulation"
)

// options are the command-line options.
type options struct {
	Seeds    int    `long:"seeds" default:"10" description:"runs of each scenario, with the seeds 1 to N"`
	Workers  int    `long:"workers" default:"4" description:"runs at once"`
	Scenario string `long:"scenario" description:"run only this scenario"`
	Output   string `long:"output" default:"build/bench" description:"folder for JSON and plots"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	if err := os.MkdirAll(o.Output, 0o755); err != nil {
		return err
	}
	rows := report.Run(jobs(o.Scenario), o.Seeds, o.Workers)
	fmt.Printf("seeds 1 to %d\n", o.Seeds)
	if err := report.Table(os.Stdout, rows); err != nil {
		return err
	}
	if err := report.JSON(filepath.Join(o.Output, "policy.json"), rows); err != nil {
		return err
	}
	for i := 0; i+1 < len(rows); i += 2 {
		title := rows[i].Deployment + " " + rows[i].Scenario
		path := filepath.Join(o.Output, rows[i].Deployment+"-"+rows[i].Scenario+".png")
		if err := report.Plot(path, title, rows[i:i+2]); err != nil {
			return err
		}
	}
	return nil
}

// jobs returns two jobs for each scenario, the first with the product and the
// second with the naive version. An empty scenarioName selects all scenarios.
func jobs(scenarioName string) []report.Job {
	var list []report.Job
	for _, d := range scenario.Deployments() {
		for _, s := range scenario.All(d) {
			if scenarioName != "" && s.Name != scenarioName {
				continue
			}
			list = append(list,
				report.Job{Deployment: d, Scenario: s, Variant: simulation.Teaselrack},
				report.Job{Deployment: d, Scenario: s, Variant: simulation.Naive})
		}
	}
	return list
}
