package report

import (
	"sync"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// Job is one scenario of one deployment with one system under test.
type Job struct {
	Deployment *simulation.Deployment
	Scenario   *simulation.Scenario
	Variant    simulation.Variant
}

// Run runs each job with the seeds 1 to seeds, with at most workers concurrent
// runs, and returns the summaries in the order of the jobs.
func Run(jobs []Job, seeds, workers int) []Summary {
	runs := make([][]*simulation.Stats, len(jobs))
	semaphore := make(chan struct{}, workers)
	var wait sync.WaitGroup
	for i, j := range jobs {
		runs[i] = make([]*simulation.Stats, seeds)
		for seed := range seeds {
			semaphore <- struct{}{}
			wait.Go(func() {
				defer func() { <-semaphore }()
				runs[i][seed] = simulation.Run(j.Deployment, j.Scenario, j.Variant, uint64(seed+1))
			})
		}
	}
	wait.Wait()
	rows := make([]Summary, len(jobs))
	for i, j := range jobs {
		rows[i] = Summarize(j.Deployment, j.Scenario, j.Variant, runs[i])
	}
	return rows
}
