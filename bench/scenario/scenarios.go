package scenario

import (
	"fmt"
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// Start and end of the disturbance, and length of the run, in every scenario.
const (
	from   = 2 * time.Second
	to     = 5 * time.Second
	length = 10 * time.Second
)

// Deployments returns the deployments that every scenario runs on.
func Deployments() []*simulation.Deployment {
	return []*simulation.Deployment{BuraKod(), StenoLac()}
}

// LargeTeam is the index of the largest team in Deployment.Teams.
const LargeTeam = 0

func newScenario(name string) *simulation.Scenario {
	return &simulation.Scenario{Name: name, From: from, To: to, Length: length, Team: -1}
}

// Steady returns a scenario with a constant load, as a multiple of the
// deployment's request rate.
func Steady(load float64) *simulation.Scenario {
	s := newScenario(fmt.Sprintf("steady-%.1fx", load))
	s.BaseLoad = load
	return s
}

// Surge returns a scenario that multiplies the load of all teams for three
// seconds.
func Surge(factor float64) *simulation.Scenario {
	s := newScenario(fmt.Sprintf("surge-%.0fx", factor))
	s.SurgeFactor = factor
	return s
}

// DeepSlow returns a scenario that makes the deep service five times slower for
// three seconds.
func DeepSlow() *simulation.Scenario {
	s := newScenario("deep-slow")
	s.DeepSlowdown = 5
	return s
}

// LargeTeamSurge returns a scenario in which the largest team sends five times
// its rate for three seconds.
func LargeTeamSurge() *simulation.Scenario {
	s := newScenario("large-team-5x")
	s.SurgeFactor, s.Team = 5, LargeTeam
	return s
}

// DomainDown returns a scenario in which the first failure domain of d is down
// for three seconds.
func DomainDown(d *simulation.Deployment) *simulation.Scenario {
	s := newScenario("domain-leaves")
	s.DownDomain = d.FailureDomains[0]
	return s
}

// ColdStart returns a scenario in which one target of each service becomes cold
// at the start of the disturbance. kind says how.
func ColdStart(name string, kind simulation.ColdStart) *simulation.Scenario {
	s := newScenario(name)
	s.ColdStart = kind
	return s
}

// LoadRouting returns a scenario in which the naive version routes by load
// endpoints that may misreport the load, with one slow target in each service.
func LoadRouting(name string, reporting simulation.LoadReporting) *simulation.Scenario {
	s := newScenario(name)
	s.LoadReporting, s.RouteByLoad, s.SlowFirstTarget = reporting, true, true
	return s
}

// FailingTarget returns a scenario in which one target of each service fails
// 90% of its requests immediately for three seconds, while its health endpoint
// reports healthy.
func FailingTarget() *simulation.Scenario {
	s := newScenario("lying-health")
	s.FailShare = 0.9
	return s
}

// All returns every scenario for d.
func All(d *simulation.Deployment) []*simulation.Scenario {
	return []*simulation.Scenario{
		Steady(1), Steady(1.5), Steady(2), Steady(3), Steady(5), Steady(10),
		Surge(3), Surge(5), Surge(10),
		DeepSlow(), LargeTeamSurge(), DomainDown(d),
		ColdStart("cold-restart", simulation.ColdRestart),
		ColdStart("cold-restart-unannounced", simulation.ColdRestartSilent),
		ColdStart("cold-announced", simulation.ColdAnnounced),
		ColdStart("cold-silent", simulation.ColdSilent),
		LoadRouting("load-honest", simulation.Honest),
		LoadRouting("load-zero", simulation.AlwaysZero),
		LoadRouting("load-5s-old", simulation.FiveSecondsOld),
		LoadRouting("load-random", simulation.Random),
		FailingTarget(),
	}
}
