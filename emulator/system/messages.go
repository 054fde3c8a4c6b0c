// Package system lays out a whole system on loopback for the end-to-end tests
// and the demo, and talks to it as callers, operators and targets do.
package system

import (
	"net/http"
	"time"
)

// Record is one request that a stand-in target ran.
type Record struct {
	Method  string      `json:"method"`
	URL     string      `json:"url"`
	Request string      `json:"request"`
	OnceKey string      `json:"once_key"`
	Header  http.Header `json:"header"`
}

// Stats counts the requests of a stand-in target.
type Stats struct {
	Requests   int `json:"requests"`
	Running    int `json:"running"`
	MaxRunning int `json:"max_running"`
}

// Behaviour is how a stand-in target treats the requests that follow.
type Behaviour struct {
	// Delay is the time before the target answers or calls on.
	Delay time.Duration `json:"delay"`
	// Status replaces the status of the answer, where it is not 0.
	Status int `json:"status"`
	// Abort closes the connection without an answer.
	Abort bool `json:"abort"`
	// Break closes the connection after half of the answer.
	Break bool `json:"break"`
}

// TargetAnswer is the body of a stand-in target's answer, with the answer of
// the next hop inside.
type TargetAnswer struct {
	Service  string        `json:"service"`
	Instance string        `json:"instance"`
	Request  string        `json:"request"`
	Echo     string        `json:"echo,omitempty"`
	Error    string        `json:"error,omitempty"`
	Next     *TargetAnswer `json:"next,omitempty"`
}

// Chain returns the services that the answer passed through, nearest first.
func (a *TargetAnswer) Chain() []string {
	var services []string
	for ; a != nil; a = a.Next {
		services = append(services, a.Service)
	}
	return services
}
