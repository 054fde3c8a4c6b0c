package simulation

import (
	"time"

	"github.com/teaselrack/teaselrack/internal/version"
)

// Deployment describes services, routes and teams.
type Deployment struct {
	Name           string
	FailureDomains []string
	Services       []Service
	Routes         []Route
	Teams          []Team
	// Load is the number of whole requests a second at a load of 1.
	Load float64
	// Deep is the service that is slowed as the deep one.
	Deep string
}

// Service is a group of equal targets, spread over the failure domains.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	Connections int
}

// Route is one sort of whole request.
type Route struct {
	Name       string
	Share      float64
	Importance version.Importance
	Call       Call
}

// Call is one call of a chain: the target works for about Work and then makes
// its own calls one after another.
type Call struct {
	Service string
	Work    time.Duration
	Calls   []Call
}

// Team is a tenant with its share of the load.
type Team struct {
	Name  string
	Share float64
}

// Network delays, one way.
const (
	delayNear   = 100 * time.Microsecond
	delayFar    = 500 * time.Microsecond
	delayClient = time.Millisecond
)

// Callers.
const (
	// callerTimeout is how long a caller waits for one attempt.
	callerTimeout = time.Second
	// callerAttempts is how often a caller tries, the first time included.
	callerAttempts = 4
	// callerPause is the mean pause between two attempts.
	callerPause = 100 * time.Millisecond
	// routeRetries is the bound on extra attempts over the whole chain.
	routeRetries = 2
)
