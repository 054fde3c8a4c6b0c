package simulation

import "time"

const (
	// RecoveryTime is the maximum time allowed to recover from a disturbance.
	RecoveryTime = 2 * time.Second
	// TailTime is the length of the last part of a run. Requests that are sent
	// in it may be unfinished when the run ends.
	TailTime = 1500 * time.Millisecond
)

// Scenario is a load profile with disturbances.
type Scenario struct {
	Name string
	// Length is the length of the run; From and To are the start and the end of
	// the disturbance.
	Length, From, To time.Duration
	// SurgeFactor multiplies the load of the team with the index Team from From
	// to To, or of all teams if Team is negative.
	SurgeFactor float64
	Team        int
	// BaseLoad is the load outside the surge; 0 means 1.
	BaseLoad float64
	// DeepSlowdown multiplies the service time of the deep service from From to
	// To.
	DeepSlowdown float64
	// DownDomain is the failure domain that is down from From to To.
	DownDomain string
	// ColdStart makes the first target of each service cold at From.
	ColdStart ColdStart
	// LoadReporting is what the load endpoints of the targets report. It
	// affects only the naive version, with RouteByLoad.
	LoadReporting LoadReporting
	// RouteByLoad makes the naive version route by the load endpoints.
	RouteByLoad bool
	// SlowFirstTarget makes the first target of each service three times
	// slower.
	SlowFirstTarget bool
	// FailShare is the share of requests that the first target of each service
	// fails immediately from From to To, while its health endpoint reports
	// healthy.
	FailShare float64
}

// ColdStart is how a target becomes cold.
type ColdStart uint8

// Kinds of cold start.
const (
	// ColdNever keeps targets warm.
	ColdNever ColdStart = iota
	// ColdRestart breaks the connections and announces a new incarnation after
	// restartDelay.
	ColdRestart
	// ColdRestartSilent breaks the connections and never announces a new
	// incarnation.
	ColdRestartSilent
	// ColdAnnounced announces the same incarnation as cold.
	ColdAnnounced
	// ColdSilent neither breaks connections nor announces anything.
	ColdSilent
)

// LoadReporting is what a load endpoint reports.
type LoadReporting uint8

// Honest reports the true load; the others misreport it.
const (
	Honest LoadReporting = iota
	AlwaysZero
	FiveSecondsOld
	Random
)

// load returns the load of a team at the given time, relative to its request
// rate at a load of 1.
func (s *Scenario) load(now time.Duration, team int) float64 {
	load := s.BaseLoad
	if load == 0 {
		load = 1
	}
	if s.SurgeFactor > 0 && now >= s.From && now < s.To && (s.Team < 0 || s.Team == team) {
		load *= s.SurgeFactor
	}
	return load
}

// maxLoad returns an upper bound of load over all times and teams.
func (s *Scenario) maxLoad() float64 {
	return max(s.BaseLoad, 1) * max(s.SurgeFactor, 1)
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
