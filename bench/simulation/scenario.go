package simulation

import "time"

const (
	// RecoveryTime is the longest time allowed to recover from an overload.
	RecoveryTime = 2 * time.Second
	// TailTime is the end of a run in which requests may stay unfinished.
	TailTime = 1500 * time.Millisecond
)

// Scenario is a course of load and of disturbances.
type Scenario struct {
	Name string
	// Length of the run, and the time of the disturbance.
	Length, From, To time.Duration
	// Surge multiplies the load of the team, or of all where Team is below 0,
	// from From to To.
	Surge float64
	Team  int
	// Base is the load outside of the surge; 0 means 1.
	Base float64
	// Slow stretches the work of the deep service from From to To.
	Slow float64
	// Down takes the failure domain down at From and brings it back at To.
	Down string
	// Cold makes the first target of each service cold at From.
	Cold ColdStart
	// Lie is what the targets' load endpoints say; only the naive version that
	// routes by them listens.
	Lie Lie
	// ByLoad lets the naive version route by the load endpoints.
	ByLoad bool
	// Uneven makes the first target of each service three times slower.
	Uneven bool
	// Broken is the share of requests that the first target of each service
	// fails at once from From to To while its health endpoint says well.
	Broken float64
}

// ColdStart is how a target turns cold.
type ColdStart uint8

// Ways to turn cold.
const (
	// ColdNever keeps targets warm.
	ColdNever ColdStart = iota
	// ColdRestart breaks the connections and announces a new incarnation later.
	ColdRestart
	// ColdRestartSilent breaks the connections and never announces anything.
	ColdRestartSilent
	// ColdAnnounced announces the same incarnation as cold.
	ColdAnnounced
	// ColdSilent breaks and announces nothing.
	ColdSilent
)

// Lie is what a load endpoint says.
type Lie uint8

// Lies of load endpoints.
const (
	Honest Lie = iota
	AlwaysZero
	FiveSecondsOld
	Random
)

func (s *Scenario) load(now time.Duration, team int) float64 {
	load := s.Base
	if load == 0 {
		load = 1
	}
	if s.Surge > 0 && now >= s.From && now < s.To && (s.Team < 0 || s.Team == team) {
		load *= s.Surge
	}
	return load
}

func (s *Scenario) maxLoad() float64 {
	return max(s.Base, 1) * max(s.Surge, 1)
}

func (s *Scenario) phase(now time.Duration) int {
	switch {
	case now < s.From:
		return Before
	case now < s.To:
		return During
	case now < s.To+RecoveryTime:
		return Recovering
	case now < s.Length-TailTime:
		return After
	}
	return Tail
}
