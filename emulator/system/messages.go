// Package system writes the files of a complete system on loopback for the
// end-to-end tests and the demo. It also sends client requests, runs the
// operators' command, and controls the stand-in targets.
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

// Stats holds the request counters of a stand-in target: all requests so far,
// those in flight, and the highest number that was in flight at once.
type Stats struct {
	Requests   int `json:"requests"`
	Running    int `json:"running"`
	MaxRunning int `json:"max_running"`
}

// Behaviour is how a stand-in target treats the requests that follow.
type Behaviour struct {
	// Delay is the time that the target waits before it responds or makes its
	// downstream call. In JSON it is in nanoseconds.
	Delay time.Duration `json:"delay"`
	// Status replaces the status of the response, if it is not 0.
	Status int `json:"status"`
	// Abort closes the connection without a response.
	Abort bool `json:"abort"`
	// Break closes the connection after half of the response body.
	Break bool `json:"break"`
}

// TargetResponse is the body of a stand-in target's response. It contains the
// response of the next hop.
type TargetResponse struct {
	Service  string          `json:"service"`
	Instance string          `json:"instance"`
	Request  string          `json:"request"`
	Echo     string          `json:"echo,omitempty"`
	Error    string          `json:"error,omitempty"`
	Next     *TargetResponse `json:"next,omitempty"`
}

// Chain returns the services of the call chain, beginning with the one that the
// client called.
func (r *TargetResponse) Chain() []string {
	var services []string
	for ; r != nil; r = r.Next {
		services = append(services, r.Service)
	}
	return services
}
