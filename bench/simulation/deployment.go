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
	// RequestRate is the number of client requests per second at a load of 1.
	RequestRate float64
	// DeepService names the service at the end of the call chains.
	// Scenario.DeepSlowdown applies to it.
	DeepService string
}

// Service is a group of identical targets, spread over the failure domains.
// Slots and Connections are the limits of each target: Slots limits the running
// requests, Connections the running and the queued requests together.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
}

// Route is one type of client request, with its share of all client requests.
type Route struct {
	Name       string
	Share      float64
	Importance version.Importance
	Call       Call
}

// Call is one call of a chain: the target works for about Work and then makes
// its own calls in sequence.
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

// One-way network delays.
const (
	delaySameDomain  = 100 * time.Microsecond
	delayCrossDomain = 500 * time.Microsecond
	delayClient      = time.Millisecond
)

// Behavior of the clients, and the retry limit of a route.
const (
	// clientTimeout is how long a client waits for one attempt.
	clientTimeout = time.Second
	// maxClientAttempts is the number of attempts of a client, the first
	// included.
	maxClientAttempts = 4
	// clientBackoff is the mean delay between two attempts.
	clientBackoff = 100 * time.Millisecond
	// routeRetries is the maximum number of extra attempts of one request over
	// its whole call chain, in the product.
	routeRetries = 2
)
