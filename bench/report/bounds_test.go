package report_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/bench/report"
	"github.com/teaselrack/teaselrack/bench/scenario"
	"github.com/teaselrack/teaselrack/bench/simulation"
)

// The bounds are the stated targets of the project.
const (
	seeds   = 3
	workers = 4

	minGoodput  = 0.90 // of the peak, at ten times the load
	maxRecovery = 2.0  // seconds
	minTail     = 0.95 // of new requests, two seconds after the disturbance
	minWorst    = 0.95 // of the fair share, for the worst-served team
	maxLieCost  = 0.05 // of the goodput with honest endpoints
	maxExtra    = 2    // extra attempts of one request over its whole chain
)

func run(t *testing.T, d *simulation.Deployment, scenarios ...*simulation.Scenario) []report.Summary {
	t.Helper()
	var jobs []report.Job
	for _, s := range scenarios {
		jobs = append(jobs, report.Job{Deployment: d, Scenario: s, Version: simulation.Ours})
	}
	rows := report.Run(jobs, seeds, workers)
	for _, r := range rows {
		t.Logf("%s %s seeds 1 to %d: goodput %.0f settled %.0f recovery %.1f tail %.3f worst %.3f wrongful %.4f wasted %.3f retries %.3f cold %d served %.2f",
			r.Deployment, r.Scenario, seeds, r.Goodput, r.Settled, r.Recovery, r.Tail, r.Worst, r.Wrongful, r.Wasted, r.Retries, r.Violations, r.Served)
		must.LessEq(t, maxExtra, r.MaxExtra)
	}
	return rows
}

// each runs fn for each deployment.
func each(t *testing.T, fn func(t *testing.T, d *simulation.Deployment)) {
	for _, d := range scenario.Deployments() {
		t.Run(d.Name, func(t *testing.T) { fn(t, d) })
	}
}

// TestGoodputAtTenTimesTheLoad compares the goodput after the first second of
// the surge, in which the levels reach the roots; the log shows the whole too.
func TestGoodputAtTenTimesTheLoad(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Surge(10), scenario.Steady(1), scenario.Steady(2), scenario.Steady(3), scenario.Steady(5), scenario.Steady(10))
		peak := 0.0
		for _, r := range rows {
			peak = max(peak, r.Settled)
		}
		must.GreaterEq(t, minGoodput*peak, rows[0].Settled)
	})
}

func TestRecoveryAfterDisturbance(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		for _, r := range run(t, d, scenario.Surge(3), scenario.Surge(5), scenario.Surge(10), scenario.DeepSlow(), scenario.Large(), scenario.DomainDown(d)) {
			must.Between(t, 0, r.Recovery, maxRecovery)
			must.GreaterEq(t, minTail, r.Tail)
		}
	})
}

func TestLargeTeamLeavesTheOthersTheirShare(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		must.GreaterEq(t, minWorst, run(t, d, scenario.Large())[0].Worst)
	})
}

func TestImportantRequestsAreShedLast(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		for _, r := range run(t, d, scenario.Surge(3), scenario.Surge(5), scenario.DeepSlow()) {
			must.GreaterEq(t, r.Served[1]-0.01, r.Served[0])
			must.GreaterEq(t, r.Served[2], r.Served[1])
			must.GreaterEq(t, 0.9, r.Served[0])
		}
	})
}

func TestLyingEndpointsCostLittle(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Lying("load-honest", simulation.Honest), scenario.Lying("load-zero", simulation.AlwaysZero),
			scenario.Lying("load-5s-old", simulation.FiveSecondsOld), scenario.Lying("load-random", simulation.Random),
			scenario.Steady(1), scenario.Broken())
		for _, r := range rows[1:4] {
			must.GreaterEq(t, (1-maxLieCost)*rows[0].Goodput, r.Goodput)
		}
		must.GreaterEq(t, (1-maxLieCost)*rows[4].Goodput, rows[5].Goodput)
	})
}

func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Cold("cold-restart", simulation.ColdRestart),
			scenario.Cold("cold-restart-unannounced", simulation.ColdRestartSilent),
			scenario.Cold("cold-announced", simulation.ColdAnnounced),
			scenario.Cold("cold-silent", simulation.ColdSilent))
		for _, r := range rows {
			must.Zero(t, r.Violations)
		}
	})
}

// TestFailureDomainLeaves asks for the goodput that the capacity left allows:
// the offered load is below it in both deployments.
func TestFailureDomainLeaves(t *testing.T) {
	each(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Steady(1), scenario.DomainDown(d))
		must.GreaterEq(t, 0.95*rows[0].Goodput, rows[1].Goodput)
	})
}
