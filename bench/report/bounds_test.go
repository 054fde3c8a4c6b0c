package report_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/bench/report"
	"github.com/teaselrack/teaselrack/bench/scenario"
	"github.com/teaselrack/teaselrack/bench/simulation"
)

// Performance targets of the project.
const (
	seeds   = 3
	workers = 4

	minGoodput       = 0.90 // of the peak goodput, at ten times the load
	maxRecovery      = 2.0  // seconds
	minAfterRecovery = 0.95 // share of new requests, from two seconds after the disturbance
	minWorstTeam     = 0.95 // of its fair share, for the worst-served team
	maxMisreportCost = 0.05 // of the goodput with honest load endpoints
	maxExtraAttempts = 2    // extra attempts of one request over its whole call chain
)

// run runs the scenarios with the product, logs each summary, and checks the
// limit on extra attempts.
func run(t *testing.T, d *simulation.Deployment, scenarios ...*simulation.Scenario) []report.Summary {
	t.Helper()
	var jobs []report.Job
	for _, s := range scenarios {
		jobs = append(jobs, report.Job{Deployment: d, Scenario: s, Variant: simulation.Teaselrack})
	}
	rows := report.Run(jobs, seeds, workers)
	for _, r := range rows {
		t.Logf("%s %s seeds 1 to %d: goodput %.0f settled %.0f recovery %.1f tail %.3f worst team %.3f wrongful %.4f wasted %.3f retries %.3f cold violations %d served %.2f",
			r.Deployment, r.Scenario, seeds, r.Goodput, r.Settled, r.Recovery, r.AfterRecovery, r.WorstTeam, r.Wrongful, r.Wasted, r.Retries, r.Violations, r.Served)
		must.LessEq(t, maxExtraAttempts, r.MaxExtraAttempts)
	}
	return rows
}

// forEachDeployment runs fn for each deployment.
func forEachDeployment(t *testing.T, fn func(t *testing.T, d *simulation.Deployment)) {
	for _, d := range scenario.Deployments() {
		t.Run(d.Name, func(t *testing.T) { fn(t, d) })
	}
}

// TestGoodputAtTenTimesTheLoad compares the goodput without the first second of
// the surge, in which the load levels propagate to the root daemons. The log
// also shows the goodput of the whole surge.
func TestGoodputAtTenTimesTheLoad(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Surge(10), scenario.Steady(1), scenario.Steady(2), scenario.Steady(3), scenario.Steady(5), scenario.Steady(10))
		peak := 0.0
		for _, r := range rows {
			peak = max(peak, r.Settled)
		}
		must.GreaterEq(t, minGoodput*peak, rows[0].Settled)
	})
}

func TestRecoveryAfterDisturbance(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		for _, r := range run(t, d, scenario.Surge(3), scenario.Surge(5), scenario.Surge(10), scenario.DeepSlow(), scenario.LargeTeamSurge(), scenario.DomainDown(d)) {
			must.Between(t, 0, r.Recovery, maxRecovery)
			must.GreaterEq(t, minAfterRecovery, r.AfterRecovery)
		}
	})
}

func TestLargeTeamLeavesTheOthersTheirShare(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		must.GreaterEq(t, minWorstTeam, run(t, d, scenario.LargeTeamSurge())[0].WorstTeam)
	})
}

func TestImportantRequestsAreShedLast(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		for _, r := range run(t, d, scenario.Surge(3), scenario.Surge(5), scenario.DeepSlow()) {
			must.GreaterEq(t, r.Served[1]-0.01, r.Served[0])
			must.GreaterEq(t, r.Served[2], r.Served[1])
			must.GreaterEq(t, 0.9, r.Served[0])
		}
	})
}

func TestLyingEndpointsCostLittle(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.LoadRouting("load-honest", simulation.Honest), scenario.LoadRouting("load-zero", simulation.AlwaysZero),
			scenario.LoadRouting("load-5s-old", simulation.FiveSecondsOld), scenario.LoadRouting("load-random", simulation.Random),
			scenario.Steady(1), scenario.FailingTarget())
		for _, r := range rows[1:4] {
			must.GreaterEq(t, (1-maxMisreportCost)*rows[0].Goodput, r.Goodput)
		}
		must.GreaterEq(t, (1-maxMisreportCost)*rows[4].Goodput, rows[5].Goodput)
	})
}

func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.ColdStart("cold-restart", simulation.ColdRestart),
			scenario.ColdStart("cold-restart-unannounced", simulation.ColdRestartSilent),
			scenario.ColdStart("cold-announced", simulation.ColdAnnounced),
			scenario.ColdStart("cold-silent", simulation.ColdSilent))
		for _, r := range rows {
			must.Zero(t, r.Violations)
		}
	})
}

// TestGoodputWithFailureDomainDown requires almost the goodput of the undisturbed run:
// in both deployments the offered load is below the capacity of the remaining
// failure domains.
func TestGoodputWithFailureDomainDown(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, d *simulation.Deployment) {
		rows := run(t, d, scenario.Steady(1), scenario.DomainDown(d))
		must.GreaterEq(t, 0.95*rows[0].Goodput, rows[1].Goodput)
	})
}
