package scenario

import (
	"fmt"
	"time"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

// Times of every scenario.
const (
	from   = 2 * time.Second
	to     = 5 * time.Second
	length = 10 * time.Second
)

// Deployments returns the deployments of the brief.
func Deployments() []*simulation.Deployment {
	return []*simulation.Deployment{BuraKod(), StenoLac()}
}

// LargeTeam is the index of the largest team.
const LargeTeam = 0

func base(name string) *simulation.Scenario {
	return &simulation.Scenario{Name: name, From: from, To: to, Length: length, Team: -1}
}

// Steady is a load that stays the same.
func Steady(load float64) *simulation.Scenario {
	s := base(fmt.Sprintf("steady-%.1fx", load))
	s.Base = load
	return s
}

// Surge multiplies the load of all teams for three seconds.
func Surge(times float64) *simulation.Scenario {
	s := base(fmt.Sprintf("surge-%.0fx", times))
	s.Surge = times
	return s
}

// DeepSlow makes the deep service five times slower for three seconds.
func DeepSlow() *simulation.Scenario {
	s := base("deep-slow")
	s.Slow = 5
	return s
}

// Large lets the largest team send five times its rate.
func Large() *simulation.Scenario {
	s := base("large-team-5x")
	s.Surge, s.Team = 5, LargeTeam
	return s
}

// DomainDown takes the first failure domain of d away for three seconds.
func DomainDown(d *simulation.Deployment) *simulation.Scenario {
	s := base("domain-leaves")
	s.Down = d.FailureDomains[0]
	return s
}

// Cold lets one target of each service turn cold.
func Cold(name string, kind simulation.ColdStart) *simulation.Scenario {
	s := base(name)
	s.Cold = kind
	return s
}

// Lying compares routing on endpoints that lie, with one slow target in each
// service.
func Lying(name string, lie simulation.Lie) *simulation.Scenario {
	s := base(name)
	s.Lie, s.ByLoad, s.Uneven = lie, true, true
	return s
}

// Broken lets one target of each service fail at once while its health
// endpoint says that it is well.
func Broken() *simulation.Scenario {
	s := base("lying-health")
	s.Broken = 0.9
	return s
}

// All returns every scenario for d.
func All(d *simulation.Deployment) []*simulation.Scenario {
	return []*simulation.Scenario{
		Steady(1), Steady(1.5), Steady(2), Steady(3), Steady(5), Steady(10),
		Surge(3), Surge(5), Surge(10),
		DeepSlow(), Large(), DomainDown(d),
		Cold("cold-restart", simulation.ColdRestart),
		Cold("cold-restart-unannounced", simulation.ColdRestartSilent),
		Cold("cold-announced", simulation.ColdAnnounced),
		Cold("cold-silent", simulation.ColdSilent),
		Lying("load-honest", simulation.Honest),
		Lying("load-zero", simulation.AlwaysZero),
		Lying("load-5s-old", simulation.FiveSecondsOld),
		Lying("load-random", simulation.Random),
		Broken(),
	}
}
