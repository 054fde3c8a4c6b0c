// Package system writes the files of a system whose processes all run on loopback.
// It also sends client requests, runs the operators' command, and controls the
// stand-in targets. The end-to-end tests and the demo use it.
package system

import (
	"net/http"
	"time"
)

// Record is one request that a stand-in target ran. Request is the request ID.
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

// Behaviour is how a stand-in target treats subsequent requests. With the zero
// value it responds to each request normally.
type Behaviour struct {
	// Delay is the time that the target waits before it responds or makes its
	// downstream call. In JSON it is a number of nanoseconds.
	Delay time.Duration `json:"delay"`
	// Status replaces the status of the response, if it is not 0.
	Status int `json:"status"`
	// Abort closes the connection without a response.
	Abort bool `json:"abort"`
	// Break closes the connection after half of the response body.
	Break bool `json:"break"`
}

// TargetResponse is the body of a stand-in target's response. Request is the
// request ID, and Echo is the body of the request. Next is the response of the
// next hop, or nil if the target made no downstream call.
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
