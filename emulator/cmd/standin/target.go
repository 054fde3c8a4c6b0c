package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/emulator/system"
)

// target responds to requests and records them.
type target struct {
	options options
	client  *http.Client

	mu        sync.Mutex
	records   []system.Record
	stats     system.Stats
	behaviour system.Behaviour
}

func newTarget(o options) *target {
	transport := &http.Transport{MaxIdleConnsPerHost: o.slots}
	return &target{options: o, client: &http.Client{Transport: transport}}
}

// ServeHTTP runs one request. It records the request first, so that a run that
// fails or is aborted is recorded too.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behaviour := t.begin(r)
	defer t.end()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "cannot read the request body", http.StatusBadRequest)
		return
	}
	if !sleep(r, behaviour.Delay) {
		return
	}
	if behaviour.Abort {
		panic(http.ErrAbortHandler)
	}
	response := system.TargetResponse{Service: t.options.service, Instance: t.options.name, Request: r.Header.Get(headerRequest), Echo: string(body)}
	status := http.StatusOK
	if path, ok := t.options.calls[r.URL.Path]; ok {
		status = t.call(r, path, body, &response)
	}
	if behaviour.Status != 0 {
		status = behaviour.Status
	}
	writeResponse(w, status, response, behaviour)
}

// begin records the request, counts it as running, and returns the behaviour that
// applies to it.
func (t *target) begin(r *http.Request) system.Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, system.Record{
		Method:  r.Method,
		URL:     r.URL.String(),
		Request: r.Header.Get(headerRequest),
		OnceKey: r.Header.Get(headerOnceKey),
		Header:  r.Header.Clone(),
	})
	t.stats.Requests++
	t.stats.Running++
	t.stats.MaxRunning = max(t.stats.MaxRunning, t.stats.Running)
	return t.behaviour
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
}

// call makes the downstream call, puts its result into response, and returns the
// status of this request. A request fails if its downstream call fails: it gets the
// status of the call, or 502 if there is no valid response.
func (t *target) call(r *http.Request, path string, body []byte, response *system.TargetResponse) int {
	result, err := t.callNext(r.Context(), r, path, body)
	if err != nil {
		response.Error = err.Error()
		return http.StatusBadGateway
	}
	if result.status != http.StatusOK {
		response.Error = string(result.body)
		return result.status
	}
	response.Next = new(system.TargetResponse)
	if err := json.Unmarshal(result.body, response.Next); err != nil {
		response.Error = err.Error()
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// sleep waits for d. It returns false if the request is canceled first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeResponse writes the response. If behaviour.Break is set, it writes half of
// the body and closes the connection.
func writeResponse(w http.ResponseWriter, status int, response system.TargetResponse, behaviour system.Behaviour) {
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if behaviour.Break {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
